// Learns the whole member list page by page, which gossip alone spreads slowly to one that has just
// started: asks a random member for the next page, and answers others' requests.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "membership/member_table.h"
#include "membership/outbox.h"
#include "membership/parameters.h"

namespace reedchute::membership {

class StateSync {
 public:
  // The references must outlive it.
  StateSync(const Parameters& parameters, const std::vector<Address>& seeds,
            const MemberTable& members, Outbox& outbox, Random& random, TimePoint now)
      : parameters_(parameters),
        seeds_(seeds),
        members_(members),
        outbox_(outbox),
        random_(random),
        requestAt_(now) {}

  void requestPage(TimePoint now);
  void onRequest(const SyncRequest& request, const Member& requester);
  // `broughtNews`: some update on the page was news.
  void onPage(const SyncPage& page, bool broughtNews);
  // When the next page is to be requested.
  TimePoint requestAt() const { return requestAt_; }
  // As long as the list isn't known to be complete, pages are requested even from seeds.
  bool isComplete() const { return isComplete_; }

 private:
  const Parameters& parameters_;
  const std::vector<Address>& seeds_;
  const MemberTable& members_;
  Outbox& outbox_;
  Random& random_;
  std::string cursor_;        // the name after which the next page begins
  bool hasSeenNews_ = false;  // on any page since the list's beginning
  bool isComplete_ = false;   // the last walk over the list brought no news
  TimePoint requestAt_;
};

}  // namespace reedchute::membership

// Transfers the whole member list page by page, as gossip alone spreads it slowly to a process that
// has just started. Requests the next page from a random member, and answers the requests of
// others.
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
  // The references must outlive this object.
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
  // `hasNewUpdates`: an update of the page changed the member table.
  void onPage(const SyncPage& page, bool hasNewUpdates);
  // When the next page request is due.
  TimePoint requestAt() const { return requestAt_; }
  // Until the list is known to be complete, pages are requested even from seeds.
  bool isComplete() const { return isComplete_; }

 private:
  const Parameters& parameters_;
  const std::vector<Address>& seeds_;
  const MemberTable& members_;
  Outbox& outbox_;
  Random& random_;
  std::string cursor_;              // the next page begins after this name
  bool hasSeenNewUpdates_ = false;  // on any page since the start of the list
  bool isComplete_ = false;         // the last pass over the list had no new updates
  TimePoint requestAt_;
};

}  // namespace reedchute::membership

// SWIM's dissemination: updates wait here to travel on pings and acks, each on a bounded number of
// packets. Of each member only the newest update is queued.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "membership/packet.h"

namespace reedchute::membership {

class UpdateQueue {
 public:
  void push(const MemberUpdate& update);
  // What the next packet carries: those first that were sent the least. An update that has been
  // sent `transmitLimit` times leaves the queue.
  std::vector<MemberUpdate> take(std::size_t most, int transmitLimit);

 private:
  struct Queued {
    std::unique_ptr<const MemberUpdate> update;  // by pointer, as entries are reordered often
    int transmits = 0;
  };

  void sortByTransmits();

  std::vector<Queued> queue_;
};

// How many packets carry an update in a fleet of so many live members.
int transmitLimit(std::size_t liveMembers);

}  // namespace reedchute::membership

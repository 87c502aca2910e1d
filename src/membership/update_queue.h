// SWIM's dissemination: queues updates to piggyback on packets, each on a bounded number of them.
// Only the newest update of each member is queued.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "membership/packet.h"

namespace reedchute::membership {

class UpdateQueue {
 public:
  void push(const MemberUpdate& update);
  // Returns up to `maxUpdates` updates for the next packet, those sent the fewest times first. An
  // update that has been sent `transmitLimit` times is removed from the queue.
  std::vector<MemberUpdate> take(std::size_t maxUpdates, int transmitLimit);

 private:
  struct Queued {
    std::unique_ptr<const MemberUpdate> update;  // by pointer, as entries are reordered often
    int transmits = 0;
  };

  void sortByTransmits();

  std::vector<Queued> queue_;
};

// The number of packets that carry an update in a fleet of `liveMembers` live members.
int transmitLimit(std::size_t liveMembers);

}  // namespace reedchute::membership

// The pools that are waiting for a descriptor, first come, first served. Pools with statements and
// pools with only probes have separate queues, so that probes never delay a statement. No I/O.
#pragma once

#include <array>
#include <deque>

#include "upstream/connection_pool.h"

namespace reedchute::upstream {

class DescriptorQueue {
 public:
  bool isEmpty() const { return queues_[0].empty() && queues_[1].empty(); }
  // Appends the pool to the queue for its current demand, unless it is in that queue already.
  void push(PoolKey key, ConnectionPool& pool) {
    PoolDemand demand = pool.demand();
    bool& isQueued = pool.isQueued[index(demand)];
    if (isQueued) return;
    isQueued = true;
    queues_[index(demand)].push_back(key);
  }
  // The pools that are waiting with this demand; the front is served first.
  const std::deque<PoolKey>& poolsFor(PoolDemand demand) const { return queues_[index(demand)]; }
  // Removes the first pool with this demand, which has to be `pool`.
  void pop(PoolDemand demand, ConnectionPool& pool) {
    queues_[index(demand)].pop_front();
    pool.isQueued[index(demand)] = false;
  }

 private:
  static std::size_t index(PoolDemand demand) { return static_cast<std::size_t>(demand); }

  std::array<std::deque<PoolKey>, kPoolDemands.size()> queues_;
};

}  // namespace reedchute::upstream

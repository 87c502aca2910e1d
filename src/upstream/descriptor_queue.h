// The pools that wait for a descriptor, in their order. Pools with statements and pools with probes
// alone wait in lines of their own, so that probes never hold up a statement. No I/O.
#pragma once

#include <array>
#include <deque>

#include "upstream/connection_pool.h"

namespace reedchute::upstream {

class DescriptorQueue {
 public:
  bool isEmpty() const { return lines_[0].empty() && lines_[1].empty(); }
  // Puts the pool at the end of the line for what it wants, unless it stands there already.
  void push(PoolKey key, ConnectionPool& pool) {
    PoolDemand demand = pool.demand();
    bool& isQueued = pool.isQueued[index(demand)];
    if (isQueued) return;
    isQueued = true;
    lines_[index(demand)].push_back(key);
  }
  // The pools of one line, the first to be served in front.
  const std::deque<PoolKey>& line(PoolDemand demand) const { return lines_[index(demand)]; }
  // Removes the first pool of a line.
  void pop(PoolDemand demand, ConnectionPool& pool) {
    lines_[index(demand)].pop_front();
    pool.isQueued[index(demand)] = false;
  }

 private:
  static std::size_t index(PoolDemand demand) { return static_cast<std::size_t>(demand); }

  std::array<std::deque<PoolKey>, kPoolDemands.size()> lines_;
};

}  // namespace reedchute::upstream

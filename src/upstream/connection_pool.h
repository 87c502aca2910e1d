// The state of one pool: the connections to one store in one protocol version, and the requests
// that wait for one. ConnectionPools owns all pools and does their I/O.
#pragma once

#include <netinet/in.h>

#include <array>
#include <list>
#include <optional>
#include <vector>

#include "upstream/upstream_connection.h"

namespace reedchute::upstream {

// Names a pool among all of them.
struct PoolKey {
  int store = -1;
  ProtocolVersion version = 0;
};

// What a pool wants connections for: statements, with or without probes beside them, or probes
// alone.
enum class PoolDemand { statements, probes };
inline constexpr std::array kPoolDemands{PoolDemand::statements, PoolDemand::probes};

struct ConnectionPool {
  std::optional<sockaddr_in> address;
  std::vector<UpstreamConnection*> ready;  // may be given requests; the one used last at the end
  std::list<UpstreamRequest*> waiting;
  int connecting = 0;                                // connections being made
  std::array<bool, kPoolDemands.size()> isQueued{};  // for a descriptor, by demand

  PoolDemand demand() const;
  // Do more requests wait than the connections being made will carry?
  bool needsConnection(std::size_t requestsPerConnection) const;
  // The ready connection that the next request goes on; there has to be one. Of those with the
  // fewest requests it is the one used last that has been idle since `settledBefore`.
  UpstreamConnection* pickReady(TimePoint settledBefore) const;
  // Closes the ready connections that carry no request.
  void closeIdle();
};

}  // namespace reedchute::upstream

// The state of one pool: the connections to one store in one protocol version, and the requests
// that are waiting for a connection. ConnectionPools owns all pools and does their I/O.
#pragma once

#include <netinet/in.h>

#include <array>
#include <list>
#include <optional>
#include <vector>

#include "upstream/upstream_connection.h"

namespace reedchute::upstream {

// Identifies a pool.
struct PoolKey {
  int store = -1;
  ProtocolVersion version = 0;
};

// What a pool needs connections for. `statements`: at least one statement is waiting, possibly
// along with probes. `probes`: only probes are waiting.
enum class PoolDemand { statements, probes };
inline constexpr std::array kPoolDemands{PoolDemand::statements, PoolDemand::probes};

struct ConnectionPool {
  std::optional<sockaddr_in> address;
  std::vector<UpstreamConnection*> ready;  // accept requests; most recently used last
  std::list<UpstreamRequest*> waiting;
  int connecting = 0;                                // connections being established
  std::array<bool, kPoolDemands.size()> isQueued{};  // for a descriptor, by PoolDemand

  PoolDemand demand() const;
  // Whether more requests are waiting than the connections being established can carry.
  bool needsConnection(std::size_t requestsPerConnection) const;
  // Picks the ready connection for the next request; requires that there is one. Prefers those with
  // the fewest requests, among these the ones that carry a request or have been idle since
  // `settledBefore` or longer, and among these the most recently used one.
  UpstreamConnection* pickReady(TimePoint settledBefore) const;
  // Closes the ready connections that carry no request, and removes them from `ready`.
  void closeIdle();
};

}  // namespace reedchute::upstream

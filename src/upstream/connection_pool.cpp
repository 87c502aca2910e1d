#include "upstream/connection_pool.h"

#include <algorithm>

namespace reedchute::upstream {

PoolDemand ConnectionPool::demand() const {
  bool hasStatements = std::any_of(
      waiting.begin(), waiting.end(),
      [](const UpstreamRequest* request) { return request->statement >= 0; });
  return hasStatements ? PoolDemand::statements : PoolDemand::probes;
}

// If one connection carries several requests, statements that arrive together share it instead of
// opening one each.
bool ConnectionPool::needsConnection(std::size_t requestsPerConnection) const {
  std::size_t wanted = (waiting.size() + requestsPerConnection - 1) / requestsPerConnection;
  return static_cast<std::size_t>(connecting) < wanted;
}

// A store may close the connection right after its response, and a request written at that moment
// is lost. A connection that has been idle for a while is therefore preferred.
UpstreamConnection* ConnectionPool::pickReady(TimePoint settledBefore) const {
  auto isSettled = [&](const UpstreamConnection* connection) {
    return connection->requestCount() > 0 || connection->idleSince <= settledBefore;
  };
  UpstreamConnection* best = ready.back();
  for (auto it = ready.rbegin(); it != ready.rend(); ++it) {
    UpstreamConnection* candidate = *it;
    bool isLessLoaded = candidate->requestCount() < best->requestCount();
    bool isAsLoaded = candidate->requestCount() == best->requestCount();
    if (isLessLoaded || (isAsLoaded && !isSettled(best) && isSettled(candidate))) best = candidate;
  }
  return best;
}

void ConnectionPool::closeIdle() {
  for (UpstreamConnection* connection : ready)
    if (connection->requestCount() == 0) connection->close();
  std::erase_if(
      ready, [](const UpstreamConnection* connection) { return connection->requestCount() == 0; });
}

}  // namespace reedchute::upstream

// Creates the connections to stores in one protocol version; implemented by each protocol. Not
// owned by ConnectionPools, which it has to outlive.
#pragma once

#include <cstddef>
#include <memory>

#include "upstream/upstream_connection.h"

namespace reedchute::upstream {

class UpstreamProtocol {
 public:
  virtual ~UpstreamProtocol() = default;
  // `fd`: a socket on which connect(2) was started, or -1 if none could be. The connection owns it.
  virtual std::unique_ptr<UpstreamConnection> createConnection(ConnectionPools& pools, int store,
                                                               ProtocolVersion version, int fd) = 0;
  // Maximum number of requests in flight on one connection.
  virtual std::size_t maxConcurrentRequests() const = 0;
  // Discards all state kept for a store, whose index may be reused for another one afterwards.
  virtual void removeStore(int /*store*/) {}
};

}  // namespace reedchute::upstream

// How stores are spoken to in one protocol version. Each protocol implements it; ConnectionPools
// refers to it for as long as it exists.
#pragma once

#include <cstddef>
#include <memory>

#include "upstream/upstream_connection.h"

namespace reedchute::upstream {

class UpstreamProtocol {
 public:
  virtual ~UpstreamProtocol() = default;
  // `fd`: a connection that was started, or -1 where it couldn't be.
  virtual std::unique_ptr<UpstreamConnection> createConnection(ConnectionPools& pools, int store,
                                                               ProtocolVersion version, int fd) = 0;
  // Requests that one connection carries at a time.
  virtual std::size_t maxConcurrentRequests() const = 0;
  // Drops what is known of a store, whose index may be another's from now on.
  virtual void removeStore(int /*store*/) {}
};

}  // namespace reedchute::upstream

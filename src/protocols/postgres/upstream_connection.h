// The store side of the PostgreSQL protocol. A connection carries one request at a time.
#pragma once

#include "upstream/connection_pools.h"
#include "upstream/upstream_protocol.h"

namespace reedchute::protocols::postgres {

class UpstreamProtocol : public upstream::UpstreamProtocol {
 public:
  std::unique_ptr<upstream::UpstreamConnection> createConnection(upstream::ConnectionPools& pools,
                                                                 int store,
                                                                 request::ProtocolVersion version,
                                                                 int fd) override;
  std::size_t maxConcurrentRequests() const override { return 1; }
};

}  // namespace reedchute::protocols::postgres

// PostgreSQL towards the stores: a connection carries one job at a time.
#pragma once

#include "upstream/connection_pools.h"

namespace reedchute::protocols::postgres {

class UpstreamProtocol : public request::UpstreamProtocol {
 public:
  std::unique_ptr<request::UpstreamConnection> carrier(upstream::ConnectionPools& stores, int store,
                                                       request::ProtocolVersion version,
                                                       int fd) override;
  std::size_t atOnce() const override { return 1; }
};

}  // namespace reedchute::protocols::postgres

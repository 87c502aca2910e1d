// The Cassandra protocol towards the stores: a connection carries many jobs at once, each on a
// stream of its own.
#pragma once

#include <map>

#include "protocols/cassandra/config.h"
#include "protocols/cassandra/prepared_statements.h"
#include "upstream/connection_pools.h"

namespace reedchute::protocols::cassandra {

class UpstreamProtocol : public upstream::UpstreamProtocol {
 public:
  UpstreamProtocol(const Config& config, int version, StorePrepared::Room& room)
      : config_(config), version_(version), room_(room) {}

  std::unique_ptr<upstream::UpstreamConnection> createConnection(upstream::ConnectionPools& pools,
                                                                 int store,
                                                                 request::ProtocolVersion version,
                                                                 int fd) override;
  std::size_t maxConcurrentRequests() const override { return config_.storeStreams; }
  void removeStore(int store) override { known_.erase(store); }

  // What is known of one store, over all connections to it.
  struct Known {
    Known(StorePrepared::Room& room, double most) : prepared(room), pace(most) {}
    StorePrepared prepared;
    PreparePace pace;
  };
  Known& known(int store);
  const Config& config() const { return config_; }
  int version() const { return version_; }

 private:
  const Config& config_;
  const int version_;
  StorePrepared::Room& room_;
  std::map<int, Known> known_;
};

}  // namespace reedchute::protocols::cassandra

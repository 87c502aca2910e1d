// The Cassandra protocol towards the stores: a connection carries many requests at once, each on a
// stream of its own.
#pragma once

#include <map>
#include <memory>

#include "protocols/cassandra/config.h"
#include "protocols/cassandra/prepared_statements.h"
#include "upstream/connection_pools.h"
#include "upstream/upstream_protocol.h"

namespace reedchute::protocols::cassandra {

// One version of the protocol, and what is known of each store over all connections to it.
class UpstreamProtocol : public upstream::UpstreamProtocol {
 public:
  UpstreamProtocol(const Config& config, int version, StorePrepared::Room& room)
      : config_(config), version_(version), room_(room) {}

  std::unique_ptr<upstream::UpstreamConnection> createConnection(upstream::ConnectionPools& pools,
                                                                 int store,
                                                                 request::ProtocolVersion version,
                                                                 int fd) override;
  std::size_t maxConcurrentRequests() const override { return config_.storeStreams; }
  void removeStore(int store) override { stores_.erase(store); }

  struct StoreState {
    StoreState(StorePrepared::Room& room, double maxPreparations)
        : prepared(room), pace(maxPreparations) {}
    StorePrepared prepared;
    PreparePace pace;
  };
  StoreState& storeState(int store);
  const Config& config() const { return config_; }
  int version() const { return version_; }

 private:
  const Config& config_;
  const int version_;
  StorePrepared::Room& room_;
  std::map<int, StoreState> stores_;
};

}  // namespace reedchute::protocols::cassandra

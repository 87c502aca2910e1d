// Client side of the Cassandra native protocol, used to send requests to stores. A connection
// carries many requests concurrently, each on its own stream.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>

#include "protocols/cassandra/config.h"
#include "protocols/cassandra/prepared_statements.h"
#include "upstream/connection_pools.h"
#include "upstream/upstream_protocol.h"

namespace reedchute::protocols::cassandra {

// Creates connections for one version of the protocol, and holds the state of each store that its
// connections share. `config` and `lru` must outlive it.
class UpstreamProtocol : public upstream::UpstreamProtocol {
 public:
  UpstreamProtocol(const Config& config, int version, StorePreparedIds::SharedLru& lru)
      : config_(config), version_(version), lru_(lru) {}

  std::unique_ptr<upstream::UpstreamConnection> createConnection(upstream::ConnectionPools& pools,
                                                                 int store,
                                                                 request::ProtocolVersion version,
                                                                 int fd) override;
  std::size_t maxConcurrentRequests() const override {
    return std::min(config_.storeStreams, kMaxStreamsInUse);
  }
  void removeStore(int store) override { stores_.erase(store); }

  // State of one store, shared by all connections to it.
  struct StoreState {
    StoreState(StorePreparedIds::SharedLru& lru, double maxPreparations)
        : prepared(lru), preparationLimiter(maxPreparations) {}
    StorePreparedIds prepared;
    PreparationLimiter preparationLimiter;
  };
  // Returns the state of a store, creating it on first use.
  StoreState& storeState(int store);
  const Config& config() const { return config_; }
  int version() const { return version_; }

 private:
  // A connection uses each stream id once, so more in use would soon use them up.
  static constexpr std::size_t kMaxStreamsInUse = 4096;

  const Config& config_;
  const int version_;
  StorePreparedIds::SharedLru& lru_;
  std::map<int, StoreState> stores_;
};

}  // namespace reedchute::protocols::cassandra

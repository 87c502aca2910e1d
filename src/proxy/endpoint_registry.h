// Applies endpoint lists: assigns indices to stores and groups, passes each entry on to the
// decision engine, the attempt guard and the connection pools, and removes stores that have been
// absent from the endpoint list for long.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/id_index.h"
#include "config/config.h"
#include "discovery/endpoint_watcher.h"
#include "invariants/attempt_guard.h"
#include "pipeline/round_trigger.h"
#include "pipeline/statement_table.h"
#include "proxy/protocols.h"
#include "upstream/connection_pools.h"

namespace reedchute::proxy {

// The components that endpoint lists are passed on to, and those that can still use a store and
// thereby defer its removal.
struct EndpointConsumers {
  runtime::Scheduler& scheduler;
  DecisionEngine& engine;
  const pipeline::StatementTable& statements;
  pipeline::RoundTrigger& rounds;
  invariants::AttemptGuard& guard;
  upstream::ConnectionPools& pools;
};

class EndpointRegistry {
 public:
  // Indices are assigned in `ids`. All arguments must outlive the registry.
  EndpointRegistry(const EndpointConsumers& consumers, const config::Config& config,
                   EndpointIds& ids, const Protocols& protocols)
      : scheduler_(consumers.scheduler),
        engine_(consumers.engine),
        statements_(consumers.statements),
        rounds_(consumers.rounds),
        guard_(consumers.guard),
        pools_(consumers.pools),
        config_(config),
        ids_(ids),
        protocols_(protocols) {}

  // Applies a full list, or the changes since the last one. `polled`: whether the list was sent by
  // the discovery service, rather than read from the configuration.
  void apply(const discovery::EndpointList& list, bool polled);
  // Periodically removes stores that have been absent for long and are unused. Never returns.
  runtime::Task<> removeExpired();

  // The number of stores that are no longer in the endpoint list but not yet removed here.
  std::size_t absentCount() const { return absentSince_.size(); }

 private:
  void applyEntry(const discovery::Endpoint& endpoint, TimePoint now);
  static void logEndpoint(const EndpointInfo& info, const discovery::Endpoint& endpoint);
  void setPoolAddresses(int store, const discovery::Endpoint& endpoint);
  void drainUnavailableStores(const discovery::EndpointList& list, TimePoint now);
  std::optional<TimePoint> recordListedStart(int store, WallTime listed);
  bool mayRemove(int store, TimePoint absentSince) const;
  void remove(int store);

  runtime::Scheduler& scheduler_;
  DecisionEngine& engine_;
  const pipeline::StatementTable& statements_;
  pipeline::RoundTrigger& rounds_;
  invariants::AttemptGuard& guard_;
  upstream::ConnectionPools& pools_;
  const config::Config& config_;
  EndpointIds& ids_;
  const Protocols& protocols_;
  std::map<int, TimePoint> absentSince_;      // by store
  std::map<int, WallTime> lastListedStarts_;  // by store, as listed
};

}  // namespace reedchute::proxy

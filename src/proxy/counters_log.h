// Logs the counters of the process and checks that they add up: every received statement must have
// been answered, abandoned by its client, or be pending.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "client/client_connections.h"
#include "pipeline/attempt_reporter.h"
#include "pipeline/dispatcher.h"
#include "pipeline/responder.h"
#include "pipeline/statement_table.h"
#include "proxy/endpoint_registry.h"
#include "proxy/slow_start_log.h"
#include "request/request_counters.h"
#include "upstream/connection_pools.h"

namespace reedchute::proxy {

using ClientGroups = std::vector<std::unique_ptr<client::ClientConnections>>;  // by protocol

// The number of open client connections of all protocols.
std::size_t sessionCount(const ClientGroups& clients);

// The components that the counters are read from. All must outlive the CountersLog.
struct CounterSources {
  const request::RequestCounters& requests;
  const pipeline::StatementTable& statements;
  const pipeline::AttemptReporter& attempts;
  const pipeline::Responder& responder;
  const pipeline::Dispatcher& dispatcher;
  const upstream::ConnectionPools& pools;
  const EndpointIds& ids;
  const EndpointRegistry& endpoints;
  const ClientGroups& clients;
  const SlowStartLog& slowStarts;
};

class CountersLog {
 public:
  explicit CountersLog(const CounterSources& sources) : sources_(sources) {}

  // Logs the counters while the process is serving.
  void write() const;
  // Logs the counters at exit, when no statement may be pending.
  void writeFinal() const;

 private:
  void writeTotals() const;
  void writeCauses() const;
  void writeMissingResponses(std::size_t pending) const;

  CounterSources sources_;
};

}  // namespace reedchute::proxy

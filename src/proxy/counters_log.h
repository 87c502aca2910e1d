// Writes the process's counters to the log, and compares them: every statement that was taken has
// to be answered, left by its client, or pending.
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
#include "request/request_counters.h"
#include "upstream/connection_pools.h"

namespace reedchute::proxy {

using ClientGroups = std::vector<std::unique_ptr<client::ClientConnections>>;  // by protocol

// Client connections of all protocols.
std::size_t sessionCount(const ClientGroups& clients);

// What the counters are read from.
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
};

class CountersLog {
 public:
  explicit CountersLog(const CounterSources& sources) : sources_(sources) {}

  // While statements are pending.
  void write() const;
  // When none can be pending any more.
  void writeFinal() const;

 private:
  void writeTotals() const;
  void writeCauses() const;
  void writeMissing(std::size_t pending) const;

  CounterSources sources_;
};

}  // namespace reedchute::proxy

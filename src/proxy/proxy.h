// The proxy process: creates all components, connects them, and runs them from startup to exit.
#pragma once

#include <memory>
#include <optional>

#include "client/client_connections.h"
#include "config/config.h"
#include "decision/engine.h"
#include "discovery/endpoint_watcher.h"
#include "invariants/attempt_guard.h"
#include "ledger/usage_recorder.h"
#include "pipeline/admission.h"
#include "pipeline/attempt_reporter.h"
#include "pipeline/dispatcher.h"
#include "pipeline/responder.h"
#include "pipeline/round_trigger.h"
#include "pipeline/router.h"
#include "pipeline/statement_table.h"
#include "proxy/config_reloader.h"
#include "proxy/counters_log.h"
#include "proxy/endpoint_registry.h"
#include "proxy/ledger_log.h"
#include "proxy/lifecycle.h"
#include "proxy/protocols.h"
#include "proxy/signals.h"
#include "proxy/slow_start_log.h"
#include "proxy/statement_intake.h"
#include "upstream/connection_pools.h"

namespace reedchute::proxy {

class Proxy : private discovery::EndpointListener {
 public:
  // Throws InvalidInput if the configuration can't be served. blockSignals() must be called first.
  explicit Proxy(config::Config config);

  // Serves until SIGTERM or SIGINT, and returns once every accepted statement has its response.
  void run();

 private:
  void onEndpointsChanged(const discovery::EndpointList& list) override;
  void onPollFailed() override;

  void createClients();
  void enterPhase(Lifecycle phase);
  void spawnTasks();
  void listen();
  void onClockStep(Duration ahead);
  runtime::Task<> serveAfterFirstList();
  void releaseStatements();
  runtime::Task<> shutDownOnSignal();
  runtime::Task<> logCounters();
  runtime::Task<> logSlowStarts();

  config::Config config_;
  Lifecycle lifecycle_ = Lifecycle::starting;
  runtime::Scheduler scheduler_;
  EndpointIds endpointIds_;
  DecisionEngine engine_;
  std::unique_ptr<ledger::UsageRecorder> ledger_;  // null if none is configured
  pipeline::Responder responder_;
  pipeline::StatementTable statements_;
  pipeline::RoundTrigger rounds_;
  invariants::AttemptGuard guard_;
  pipeline::AttemptReporter attempts_;
  pipeline::Admission admission_;
  StatementIntake intake_;
  upstream::ConnectionPools pools_;
  Protocols protocols_;
  pipeline::Dispatcher dispatcher_;
  pipeline::Router router_;
  EndpointRegistry endpoints_;
  ClientGroups clients_;
  discovery::EndpointWatcher endpointWatcher_;
  ConfigReloader reloader_;
  SlowStartLog slowStartLog_;
  CountersLog countersLog_;
  std::optional<LedgerLog> ledgerLog_;
  runtime::Event shutdownRequested_;
  runtime::Event firstListReceived_;
  std::optional<SignalWatcher> signalWatcher_;
};

}  // namespace reedchute::proxy

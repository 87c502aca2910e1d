// The front: one object whose phases lead from the start to the exit. It owns the module, the
// stages and the peers, and ties them together.
#pragma once

#include <csignal>
#include <map>
#include <optional>

#include "base/id_index.h"
#include "client/client_connections.h"
#include "config/config.h"
#include "discovery/endpoint_watcher.h"
#include "pipeline/admission.h"
#include "pipeline/dispatcher.h"
#include "pipeline/responder.h"
#include "pipeline/router.h"
#include "pipeline/statement_table.h"
#include "proxy/protocols.h"
#include "upstream/connection_pools.h"

namespace reedchute::proxy {

enum class Lifecycle {
  starting,  // the known list is told to the module, nothing listens yet
  serving,
  draining,      // told to end: still serving whoever comes, as clients hear of it late
  shuttingDown,  // no new clients; idle ones are sent away, what was taken gets its answer
  ended,
};

const char* nameOf(Lifecycle p);

class Proxy : public request::StatementHandler, public discovery::EndpointListener {
 public:
  explicit Proxy(Config config);

  // From now on signals wait until run() takes them; to be called before it.
  static void holdSignals();

  // Serves until it is told to end, and returns when all that was taken has its answer.
  void run();
  Lifecycle phase() const { return lifecycle_; }

  int admit(request::ReceivedStatement taken, request::ResponseSink& sink, int requestId) override;
  void left(int statement) override;
  bool roomy() const override;
  bool takes(TimePoint came) const override { return came <= takenUntil_; }
  void onEndpointsChanged(const discovery::EndpointList& roster) override;
  void onPollFailed() override;

 private:
  void enter(Lifecycle p);
  std::size_t sessions() const;
  void tellList(const discovery::EndpointList& roster, bool asked);
  void forgetGone();
  void clockStepped(Duration ahead);
  TimePoint startOf(int store, WallTime told);
  runtime::Task<> watchSignals(int fd);
  runtime::Task<> open();
  runtime::Task<> watchReloads();
  bool reload();
  runtime::Task<> leave();
  runtime::Task<> tally();
  void tellTally();
  void tellEnds() const;
  void tellMissing(std::size_t owed) const;
  void tellLedger();
  runtime::Task<> watchLedger();
  runtime::Task<> sweep();

  Config config_;
  Lifecycle lifecycle_ = Lifecycle::starting;
  runtime::Scheduler scheduler_;
  IdIndex<std::string> storeIds_;
  std::map<int, TimePoint> gone_;  // stores that the list has dropped, and since when
  struct Start {
    WallTime told;
    TimePoint at = kNever;
  };
  std::map<int, Start> starts_;  // by store: as it was told first, and what it was taken for
  IdIndex<std::int64_t> groups_;
  runtime::Event reloads_;  // a signal to read the configuration has come
  DecisionEngine engine_;
  std::unique_ptr<ledger::UsageRecorder> ledger_;
  pipeline::Responder responder_;
  pipeline::StatementTable statements_;
  upstream::ConnectionPools stores_;
  std::vector<std::unique_ptr<Protocol>> protocols_;
  pipeline::Dispatcher dispatcher_;
  pipeline::Router router_;
  pipeline::Admission admission_;
  std::vector<std::unique_ptr<client::ClientConnections>> clients_;  // by protocol
  discovery::EndpointWatcher list_;
  TimePoint takenUntil_ = kForever;  // statements, once it was told to end
  runtime::Event told_;              // a signal to end has come
  runtime::Event listed_;            // the list has come
  request::RequestCounters counters_;
  ledger::UsageRecorderState ledgerWas_;
};

}  // namespace reedchute::proxy

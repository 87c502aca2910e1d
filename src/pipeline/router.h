// Runs the decision rounds and carries out the engine's decisions.
#pragma once

#include "decision/engine.h"
#include "pipeline/dispatcher.h"
#include "pipeline/responder.h"
#include "pipeline/round_trigger.h"
#include "pipeline/statement_table.h"

namespace reedchute::discovery {
class EndpointWatcher;
}

namespace reedchute::pipeline {

class Router : public DecisionSink {
 public:
  Router(runtime::Scheduler& scheduler, DecisionEngine& engine, StatementTable& statements,
         RoundTrigger& rounds, Dispatcher& dispatcher, Responder& responder,
         upstream::ConnectionPools& pools)
      : scheduler_(scheduler),
        engine_(engine),
        statements_(statements),
        rounds_(rounds),
        dispatcher_(dispatcher),
        responder_(responder),
        pools_(pools),
        wakeTimeChanged_(scheduler) {}

  // To be called before the first round. Not owned.
  void setEndpointWatcher(discovery::EndpointWatcher* watcher) { endpointWatcher_ = watcher; }
  // Called at the end of each scheduler iteration; runs a decision round if one was requested.
  void runRound();
  // Notifies the engine at the time that it requested with wake(). Never returns.
  runtime::Task<> runWakeTimer();

  // DecisionSink
  void send(int index, int store, TimePoint deadline, TimePoint sendBy) override {
    dispatcher_.sendAttempt(index, store, deadline, sendBy);
  }
  void cancel(int index, int attempt) override { dispatcher_.cancelAttempt(index, attempt); }
  void reject(int index, Duration retryAfter) override;
  void abort(int index) override;
  void probe(int store) override { dispatcher_.sendProbe(store); }
  void release(int store) override { pools_.closeIdleConnections(store); }
  void pollEndpoints() override;
  void wake(Duration after) override;

 private:
  void logFailure(const char* event, const Statement& statement) const;

  runtime::Scheduler& scheduler_;
  DecisionEngine& engine_;
  StatementTable& statements_;
  RoundTrigger& rounds_;
  Dispatcher& dispatcher_;
  Responder& responder_;
  upstream::ConnectionPools& pools_;
  discovery::EndpointWatcher* endpointWatcher_ = nullptr;
  runtime::Event wakeTimeChanged_;
  TimePoint wakeAt_ = kForever;
};

}  // namespace reedchute::pipeline

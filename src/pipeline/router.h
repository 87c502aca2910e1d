// Stage 3, route: a round of the module, and its decisions handed on to where they are carried out.
#pragma once

#include "pipeline/dispatcher.h"
#include "pipeline/responder.h"
#include "pipeline/statement_table.h"

namespace reedchute::discovery {
class EndpointWatcher;
}

namespace reedchute::pipeline {

class Router : public DecisionSink {
 public:
  Router(runtime::Scheduler& s, DecisionEngine& engine, StatementTable& statements,
         Dispatcher& dispatcher, Responder& responder, upstream::ConnectionPools& stores)
      : scheduler_(s),
        engine_(engine),
        statements_(statements),
        dispatcher_(dispatcher),
        responder_(responder),
        stores_(stores),
        wakes_(s) {}

  void list(discovery::EndpointWatcher* l) { list_ = l; }
  // Once a round, when all that it brought has been told.
  void round();
  // Tells the module when the time has come that it asked to be woken at.
  runtime::Task<> alarm();

  void send(int statement, int store, TimePoint stopAt, TimePoint sendBy) override {
    dispatcher_.sendAttempt(statement, store, stopAt, sendBy);
  }
  void cancel(int statement, int execution) override { dispatcher_.cancel(statement, execution); }
  void reject(int statement, Duration retryAfter) override;
  void abort(int statement) override;
  void probe(int store) override { dispatcher_.probe(store); }
  void release(int store) override { stores_.closeIdleConnections(store); }
  void pollEndpoints() override;
  void wake(Duration after) override;

 private:
  void tellGivenUp(const char* event, const Statement& st) const;

  runtime::Scheduler& scheduler_;
  DecisionEngine& engine_;
  StatementTable& statements_;
  Dispatcher& dispatcher_;
  Responder& responder_;
  upstream::ConnectionPools& stores_;
  discovery::EndpointWatcher* list_ = nullptr;
  runtime::Event wakes_;
  TimePoint wakeAt_ = kForever;
};

}  // namespace reedchute::pipeline

// Stage 3, route: a round of the module, and its decisions handed on to where they are carried out.
#pragma once

#include "stages/book.h"
#include "stages/relay.h"
#include "stages/send.h"

namespace reedchute::peers {
class List;
}

namespace reedchute::stages {

class Route : public Writer {
 public:
  Route(sched::Scheduler& s, Rules& rules, Book& book, Send& send, Relay& relay, peers::Stores& stores)
      : scheduler_(s), rules_(rules), book_(book), send_(send), relay_(relay), stores_(stores), wakes_(s) {}

  void list(peers::List* l) { list_ = l; }
  // Once a round, when all that it brought has been told.
  void round();
  // Tells the module when the time has come that it asked to be woken at.
  sched::Task<> alarm();

  void send(int stmt, int store, TimePoint stopAt, TimePoint sendBy) override {
    send_.execution(stmt, store, stopAt, sendBy);
  }
  void cancel(int stmt, int execution) override { send_.cancel(stmt, execution); }
  void reject(int stmt, Span comeBack) override;
  void abort(int stmt) override;
  void probe(int store) override { send_.probe(store); }
  void release(int store) override { stores_.release(store); }
  void watchList() override;
  void wake(Span after) override;

 private:
  void tellGivenUp(const char* event, const Statement& st) const;

  sched::Scheduler& scheduler_;
  Rules& rules_;
  Book& book_;
  Send& send_;
  Relay& relay_;
  peers::Stores& stores_;
  peers::List* list_ = nullptr;
  sched::Event wakes_;
  TimePoint wakeAt_ = kForever;
};

}  // namespace reedchute::stages

// The stores: pools of connections by store and speech, and the jobs that travel on them. What is spoken on a
// connection is its protocol's, which has a folder under src/doors and a row in the table of speeches.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "exchange/exchange.h"
#include "sched/socket.h"

namespace reedchute::peers {
class Stores;
}

namespace reedchute::exchange {

// A connection to a store, whatever it speaks.
class Carrier {
 public:
  Carrier(peers::Stores& owner, int of, Speech in) : stores(owner), store(of), speech(in) {}
  virtual ~Carrier() = default;

  // Does what comes before the first job; false where the connection can't be had.
  virtual sched::Task<bool> comeUp(TimePoint until) = 0;
  // Carries jobs until the connection is of no more use.
  virtual sched::Task<> serve() = 0;
  // Closes, and ends all jobs that are still on it, also where serve() has failed in the middle.
  virtual sched::Task<> end() = 0;
  // A job for it, one that stands among the ready of its pool.
  virtual void take(Job* job) = 0;
  virtual void cancel(Job* job) = 0;  // one of its jobs is not wanted any more
  virtual void close() = 0;           // at once
  virtual void retire() {}            // takes no new job, and closes when it has none
  virtual std::size_t jobs() const = 0;
  virtual std::size_t held() const = 0;  // bytes, in its buffers

  peers::Stores& stores;
  const int store;
  const Speech speech;
  TimePoint idleSince{};  // when it last came to have no job
  bool forProbe = false;  // it was made for a probe and has not been ready since
};

// How stores are spoken to in one speech.
class Voice {
 public:
  virtual ~Voice() = default;
  // `fd`: a connection that was started, or -1 where it couldn't be.
  virtual std::unique_ptr<Carrier> carrier(peers::Stores& stores, int store, Speech speech, int fd) = 0;
  virtual std::size_t atOnce() const = 0;  // jobs that one connection carries
  virtual void forget(int /*store*/) {}    // its index may be another's from now on
};

}  // namespace reedchute::exchange

namespace reedchute::peers {

using exchange::Carrier;
using exchange::Job;
using exchange::Speech;

class Stores {
 public:
  struct Limits {
    Span connectTimeout, keepalive;
    std::size_t connections = 0;  // of all stores together
    std::size_t row = 0;          // bytes that one row may have
    std::size_t bytes = 0;        // that answers on their way may have, all together
  };

  Stores(sched::Scheduler& s, exchange::Giver& giver, Limits limits);
  ~Stores();

  // A row of the table of speeches; before the first store is placed.
  Speech add(exchange::Voice& voice);

  // Where a store is reached in one speech. Idle connections to another address are closed.
  void place(int store, Speech speech, const sockaddr_in& address);
  Job* give(std::unique_ptr<Job> job);
  // Stops waiting: ends its connection if it was written to one that carries nothing else.
  void cancel(Job* job);
  // The list says that a store drains or is gone: what still waits for a connection to it is not sent.
  void withdraw(int store);
  // Of what isn't written yet, these aren't written any more: they end as moot.
  void recall(const std::function<bool(const Job&)>& which);
  // Closes the idle connections of one store.
  void release(int store);
  std::size_t connections() const { return connections_.size(); }
  std::uint64_t opened() const { return opened_; }  // connections begun since the start
  // Is there neither a connection nor a job to it?
  bool unused(int store) const;
  // Nothing is kept of a store that is unused.
  void forget(int store);

  // For carriers.
  sched::Scheduler& scheduler() { return scheduler_; }
  const Limits& limits() const { return limits_; }
  std::size_t held() const;  // bytes, in the buffers of all connections
  // Is it still to be written? Danger: a statement may have ended while its execution waited for a connection.
  bool due(const Job& job) const;
  // May it be written at this very moment? To be asked right before the write.
  bool leaves(Job& job);
  // The next job for this connection; those that are not to be sent any more end on the way.
  Job* nextFor(Carrier& c);
  // It may be given jobs from now on, until unready() or until one is given to it that fills it.
  void ready(Carrier& c);
  void unready(Carrier& c);
  // A job that wasn't written waits again, before all others.
  void giveBack(Job* job);
  void finish(Job* job, Ending ending);

 private:
  struct Pool {
    std::optional<sockaddr_in> address;
    std::vector<Carrier*> ready;  // the one used last at the end
    std::list<Job*> waiting;
    int coming = 0;  // connections being made
    std::array<bool, 2> lined{};  // it stands in these lines
  };
  // Those that wait for a place: with statements, with probes alone.
  enum Line { forStatements, forProbes };

  Pool& poolOf(int store, Speech speech) {
    return pools_[static_cast<std::size_t>(store)][static_cast<std::size_t>(speech)];
  }
  Pool& poolOf(const Carrier& c) { return poolOf(c.store, c.speech); }
  std::size_t atOnce(Speech s) const { return voices_[static_cast<std::size_t>(s)]->atOnce(); }
  void closeIdle(Pool& pool);
  void openWanted(int store, Speech speech);
  bool wanted(const Pool& pool, Speech speech) const;
  static Line lineOf(const Pool& pool);
  bool place(Line line);                     // is there one for another connection?
  bool openOne(int store, Speech speech);    // false where there is no place
  bool closeLongestIdle();
  void placeFreed();
  sched::Task<> watchLines();
  sched::Task<> run(std::unique_ptr<Carrier> c);
  sched::Task<bool> comeUp(Carrier& c);

  sched::Scheduler& scheduler_;
  exchange::Giver& giver_;
  Limits limits_;
  std::vector<exchange::Voice*> voices_;
  std::vector<std::vector<Pool>> pools_;  // by store and speech
  std::vector<Carrier*> connections_;
  std::array<std::deque<std::pair<int, Speech>>, 2> lines_;  // of pools, in turn
  bool watching_ = false;
  std::uint64_t opened_ = 0;
  std::vector<std::unique_ptr<Job>> jobs_;
};

}  // namespace reedchute::peers

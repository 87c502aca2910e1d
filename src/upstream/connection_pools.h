// The stores: pools of connections by store and version, and the jobs that travel on them. What is
// spoken on a connection is its protocol's, which has a folder under src/doors and a row in the
// table of versions.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "request/attempt_owner.h"
#include "request/protocol_version.h"
#include "request/upstream_request.h"
#include "runtime/socket.h"

namespace reedchute::upstream {
class ConnectionPools;
}

namespace reedchute::request {

// A connection to a store, whatever it speaks.
class UpstreamConnection {
 public:
  UpstreamConnection(upstream::ConnectionPools& owner, int of, ProtocolVersion in)
      : stores(owner), store(of), version(in) {}
  virtual ~UpstreamConnection() = default;

  // Does what comes before the first job; false where the connection can't be had.
  virtual runtime::Task<bool> comeUp(TimePoint until) = 0;
  // Carries jobs until the connection is of no more use.
  virtual runtime::Task<> serve() = 0;
  // Closes, and ends all jobs that are still on it, also where serve() has failed in the middle.
  virtual runtime::Task<> end() = 0;
  // A job for it, one that stands among the ready of its pool.
  virtual void take(UpstreamRequest* job) = 0;
  virtual void cancel(UpstreamRequest* job) = 0;  // one of its jobs is not wanted any more
  virtual void close() = 0;                       // at once
  virtual void retire() {}                        // takes no new job, and closes when it has none
  virtual std::size_t jobs() const = 0;
  virtual std::size_t held() const = 0;  // bytes, in its buffers

  upstream::ConnectionPools& stores;
  const int store;
  const ProtocolVersion version;
  TimePoint idleSince{};  // when it last came to have no job
  bool forProbe = false;  // it was made for a probe and has not been ready since
};

// How stores are spoken to in one version.
class UpstreamProtocol {
 public:
  virtual ~UpstreamProtocol() = default;
  // `fd`: a connection that was started, or -1 where it couldn't be.
  virtual std::unique_ptr<UpstreamConnection> carrier(upstream::ConnectionPools& stores, int store,
                                                      ProtocolVersion version, int fd) = 0;
  virtual std::size_t atOnce() const = 0;  // jobs that one connection carries
  virtual void forget(int /*store*/) {}    // its index may be another's from now on
};

}  // namespace reedchute::request

namespace reedchute::upstream {

using request::ProtocolVersion;
using request::UpstreamConnection;
using request::UpstreamRequest;

class ConnectionPools {
 public:
  struct Limits {
    Duration connectTimeout, keepalive;
    std::size_t connections = 0;  // of all stores together
    std::size_t row = 0;          // bytes that one row may have
    std::size_t bytes = 0;        // that answers on their way may have, all together
  };

  ConnectionPools(runtime::Scheduler& s, request::AttemptOwner& owner, Limits limits);
  ~ConnectionPools();

  // A row of the table of versions; before the first store is placed.
  ProtocolVersion add(request::UpstreamProtocol& voice);

  // Where a store is reached in one version. Idle connections to another address are closed.
  void place(int store, ProtocolVersion version, const sockaddr_in& address);
  UpstreamRequest* submit(std::unique_ptr<UpstreamRequest> job);
  // Stops waiting: ends its connection if it was written to one that carries nothing else.
  void cancel(UpstreamRequest* job);
  // The list says that a store drains or is gone: what still waits for a connection to it is not
  // sent.
  void withdraw(int store);
  // Of what isn't written yet, these aren't written any more: they end as moot.
  void recall(const std::function<bool(const UpstreamRequest&)>& which);
  // Closes the idle connections of one store.
  void release(int store);
  std::size_t connections() const { return connections_.size(); }
  std::uint64_t opened() const { return opened_; }  // connections begun since the start
  // Is there neither a connection nor a job to it?
  bool unused(int store) const;
  // Nothing is kept of a store that is unused.
  void forget(int store);

  // For carriers.
  runtime::Scheduler& scheduler() { return scheduler_; }
  const Limits& limits() const { return limits_; }
  std::size_t held() const;  // bytes, in the buffers of all connections
  // Is it still to be written? Danger: a statement may have ended while its execution waited for a
  // connection.
  bool due(const UpstreamRequest& job) const;
  // May it be written at this very moment? To be asked right before the write.
  bool leaves(UpstreamRequest& job);
  // The next job for this connection; those that are not to be sent any more end on the way.
  UpstreamRequest* nextFor(UpstreamConnection& c);
  // It may be given jobs from now on, until unready() or until one is given to it that fills it.
  void ready(UpstreamConnection& c);
  void unready(UpstreamConnection& c);
  // A job that wasn't written waits again, before all others.
  void giveBack(UpstreamRequest* job);
  void finish(UpstreamRequest* job, AttemptOutcome ending);

 private:
  struct Pool {
    std::optional<sockaddr_in> address;
    std::vector<UpstreamConnection*> ready;  // the one used last at the end
    std::list<UpstreamRequest*> waiting;
    int coming = 0;               // connections being made
    std::array<bool, 2> lined{};  // it stands in these lines
  };
  // Those that wait for a place: with statements, with probes alone.
  enum WaitingLine { forStatements, forProbes };

  Pool& poolOf(int store, ProtocolVersion version) {
    return pools_[static_cast<std::size_t>(store)][static_cast<std::size_t>(version)];
  }
  Pool& poolOf(const UpstreamConnection& c) { return poolOf(c.store, c.version); }
  std::size_t atOnce(ProtocolVersion s) const {
    return voices_[static_cast<std::size_t>(s)]->atOnce();
  }
  void closeIdle(Pool& pool);
  void openWanted(int store, ProtocolVersion version);
  bool wanted(const Pool& pool, ProtocolVersion version) const;
  static WaitingLine lineOf(const Pool& pool);
  bool place(WaitingLine line);                      // is there one for another connection?
  bool openOne(int store, ProtocolVersion version);  // false where there is no place
  bool closeLongestIdle();
  void placeFreed();
  runtime::Task<> watchLines();
  runtime::Task<> run(std::unique_ptr<UpstreamConnection> c);
  runtime::Task<bool> comeUp(UpstreamConnection& c);

  runtime::Scheduler& scheduler_;
  request::AttemptOwner& owner_;
  Limits limits_;
  std::vector<request::UpstreamProtocol*> voices_;
  std::vector<std::vector<Pool>> pools_;  // by store and version
  std::vector<UpstreamConnection*> connections_;
  std::array<std::deque<std::pair<int, ProtocolVersion>>, 2> lines_;  // of pools, in turn
  bool watching_ = false;
  std::uint64_t opened_ = 0;
  std::vector<std::unique_ptr<UpstreamRequest>> jobs_;
};

}  // namespace reedchute::upstream

// The stores: their connections, one coroutine each, and the jobs that travel on them, one at a time.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pg/messages.h"
#include "rules.h"
#include "sched/socket.h"

namespace reedchute::peers {

class Connection;

// One message to a store and what came of it: an execution of a statement, or a probe.
struct Job {
  int stmt = -1;  // -1: a probe
  int execution = -1;
  int store = -1;
  std::string bytes;
  TimePoint begun, until;
  TimePoint sendBy = kForever;  // not written at all later than this
  Connection* on = nullptr;
  std::size_t place = 0;  // among all jobs
  bool cancelled = false;
  // what came back
  Ending ending = Ending::moot;
  std::string row;    // RowDescription, DataRow and CommandComplete as they came, or an error in their place
  Role role = Role::unknown;
  std::optional<TimePoint> position;
  Report report;
};

// Whoever gave out the jobs.
class Giver {
 public:
  virtual ~Giver() = default;
  virtual bool wanted(const Job& job) const = 0;  // is it still to be sent?
  virtual void ended(Job& job) = 0;               // exactly once a job
};

class Stores {
 public:
  struct Limits {
    Span connectTimeout, keepalive;
    std::size_t connections = 0;  // of all stores together
    std::size_t row = 0;          // bytes that one row may have
    std::size_t bytes = 0;        // that answers on their way may have, all together
  };

  Stores(sched::Scheduler& s, Giver& giver, Limits limits);
  ~Stores();

  // Where a store is reached. Idle connections to another address are closed.
  void place(int store, const sockaddr_in& address);
  Job* give(std::unique_ptr<Job> job);
  // Stops waiting: ends its connection if it was written to one.
  void cancel(Job* job);
  // The list says that a store drains or is gone: what still waits for a connection to it is not sent.
  void withdraw(int store);
  // Closes the idle connections of one store.
  void release(int store);
  std::size_t connections() const { return connections_.size(); }
  // Is there neither a connection nor a job to it?
  bool unused(int store) const;
  // Nothing is kept of a store that is unused.
  void forget(int store) { poolOf(store) = {}; }

 private:
  friend class Connection;

  struct Pool {
    std::optional<sockaddr_in> address;
    std::vector<Connection*> idle;  // the one used last at the end
    std::deque<Job*> waiting;
    int coming = 0;  // connections being made
  };

  Pool& poolOf(int store) { return pools_[static_cast<std::size_t>(store)]; }
  void openOne(int store);
  bool closeLongestIdle();
  std::size_t held() const;  // bytes, in the buffers of all connections
  bool due(const Job& job) const;
  Job* nextFor(int store);
  void finish(Job* job, Ending ending);
  void failOldest(int store);
  sched::Task<> serve(std::unique_ptr<Connection> c);

  sched::Scheduler& scheduler_;
  Giver& giver_;
  Limits limits_;
  std::vector<Pool> pools_;
  std::vector<Connection*> connections_;
  std::vector<std::unique_ptr<Job>> jobs_;
};

// name=value pairs set apart by commas, as reports come. One whose position lies after `newest` is none.
Report readReport(std::string_view text, TimePoint newest);

}  // namespace reedchute::peers

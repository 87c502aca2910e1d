// All sessions of one protocol. Keeps queues of the sessions that wait for their client, and closes
// some of these to make room for new clients.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>

#include "client/client_limits.h"
#include "client/session.h"
#include "runtime/scheduler.h"

namespace reedchute::client {

// The client's action that a session waits for.
enum class WaitFor {
  nextRequest,   // a request after the first one
  firstRequest,  // the first request, or the rest of a message
  close,         // the client reads the remaining output, or closes the connection
};

class SessionRegistry {
 public:
  SessionRegistry(runtime::Scheduler& scheduler, const ClientLimits& limits)
      : scheduler_(scheduler), limits_(limits) {}

  void add(Session& session);
  // Removes the session and counts it under its reason for closing.
  void remove(Session& session);

  std::size_t count() const { return sessions_.size(); }
  std::size_t idleCount() const { return betweenRequests_.size(); }
  std::size_t bufferBytes() const;
  std::size_t unsentResponses() const;
  // Sessions closed for `reason` since process start.
  std::uint64_t closedCount(CloseReason reason) const {
    return closedCounts_[static_cast<std::size_t>(reason)];
  }
  // Ends each session as soon as it is idle: now, or after its pending responses.
  void drain();
  bool isDraining() const { return drainingSince_ != kNever; }
  TimePoint drainingSince() const { return drainingSince_; }

  // Waits for `event`, at most until `until`; false if the time came first. Meanwhile the session
  // may be closed to make room.
  runtime::Task<bool> wait(Session& session, runtime::Event& event, WaitFor what, TimePoint until);
  // Closes one of the waiting sessions. Returns false if none can be closed.
  bool evictOne();
  // Closes the session that has been idle longest between two requests.
  void evictIdle() { closeLongestWaiting(betweenRequests_); }
  // Returns until when new clients should stay in the accept queue rather than cause an eviction;
  // nullopt if they may be accepted now.
  std::optional<TimePoint> nextEvictionAt() const;

 private:
  std::list<Session*>& queueFor(WaitFor what);
  bool closeLongestWaiting(std::list<Session*>& queue);
  bool hasSentNothing(Session& session) const;

  runtime::Scheduler& scheduler_;
  const ClientLimits& limits_;
  TimePoint drainingSince_ = kNever;
  std::list<Session*> sessions_;
  // Queues of waiting sessions. The front has waited longest.
  std::list<Session*> betweenRequests_;
  std::list<Session*> awaitingFirstRequest_;
  std::list<Session*> closing_;
  std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::count)> closedCounts_{};
};

}  // namespace reedchute::client

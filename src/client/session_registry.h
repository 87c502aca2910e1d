// All sessions with the clients of one protocol, and those among them that wait for their client,
// of which the registry closes some to make room.
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

// What a session that waits for its client waits for.
enum class WaitFor {
  nextRequest,   // between two requests
  firstRequest,  // the first request, or the rest of a message
  close,         // for the client to read what was written last
};

class SessionRegistry {
 public:
  SessionRegistry(runtime::Scheduler& scheduler, const ClientLimits& limits)
      : scheduler_(scheduler), limits_(limits) {}

  void add(Session& session);
  // Counts the session under its reason for closing.
  void remove(Session& session);

  std::size_t count() const { return sessions_.size(); }
  std::size_t idleCount() const { return betweenRequests_.size(); }
  std::size_t bufferBytes() const;
  std::size_t unsentResponses() const;
  // Sessions that have ended since the start.
  std::uint64_t closedCount(CloseReason reason) const {
    return closedCounts_[static_cast<std::size_t>(reason)];
  }
  // From now on sessions end when they are idle, at once or after their response.
  void drain();
  bool isDraining() const { return drainingSince_ != kNever; }
  TimePoint drainingSince() const { return drainingSince_; }

  // Waits for `event` or `until`; the session may be closed meanwhile to make room.
  runtime::Task<bool> wait(Session& session, runtime::Event& event, WaitFor what, TimePoint until);
  // Closes one of the sessions that wait; false where none can be closed.
  bool evictOne();
  // Closes the session that has waited longest between two requests.
  void evictIdle() { closeLongestWaiting(betweenRequests_); }
  // Until when a new client has to wait for an eviction; nothing where it needn't.
  std::optional<TimePoint> nextEvictionAt() const;

 private:
  std::list<Session*>& queueFor(WaitFor what);
  bool closeLongestWaiting(std::list<Session*>& queue);
  bool hasSentNothing(Session& session) const;

  runtime::Scheduler& scheduler_;
  const ClientLimits& limits_;
  TimePoint drainingSince_ = kNever;
  std::list<Session*> sessions_;
  // Each has the session that has waited longest at its front.
  std::list<Session*> betweenRequests_;
  std::list<Session*> awaitingFirstRequest_;
  std::list<Session*> closing_;
  std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::count)> closedCounts_{};
};

}  // namespace reedchute::client

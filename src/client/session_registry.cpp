#include "client/session_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace reedchute::client {

void SessionRegistry::add(Session& session) {
  sessions_.push_back(&session);
  session.registryEntry = std::prev(sessions_.end());
}

void SessionRegistry::remove(Session& session) {
  if (session.closeReason == CloseReason::none) session.closeReason = CloseReason::clientClosed;
  ++closedCounts_[static_cast<std::size_t>(session.closeReason)];
  sessions_.erase(session.registryEntry);
}

std::size_t SessionRegistry::bufferBytes() const {
  std::size_t bytes = 0;
  for (const Session* session : sessions_) bytes += session->bufferBytes();
  return bytes;
}

std::size_t SessionRegistry::unsentResponses() const {
  std::size_t responses = 0;
  for (const Session* session : sessions_) responses += session->unsentResponses();
  return responses;
}

void SessionRegistry::drain() {
  drainingSince_ = scheduler_.now();
  for (Session* session : sessions_) {
    session->socket.readable.set();
    session->socket.writable.set();
  }
}

std::list<Session*>& SessionRegistry::queueFor(WaitFor what) {
  switch (what) {
    case WaitFor::nextRequest:
      return betweenRequests_;
    case WaitFor::firstRequest:
      return awaitingFirstRequest_;
    default:
      return closing_;
  }
}

runtime::Task<bool> SessionRegistry::wait(Session& session, runtime::Event& event, WaitFor what,
                                          TimePoint until) {
  std::list<Session*>& queue = queueFor(what);
  session.hasUnseenInput = false;
  session.waitQueue = &queue;
  queue.push_back(&session);
  session.waitQueueEntry = std::prev(queue.end());
  session.waitingSince = scheduler_.now();
  bool isSet = co_await event.wait(until);
  if (session.waitQueue) std::exchange(session.waitQueue, nullptr)->erase(session.waitQueueEntry);
  co_return isSet;
}

// Closing sessions are evicted first. Next are clients that haven't sent their first request within
// firstRequestGrace, because hundreds of them would exclude clients that have requests. A client
// that connected more recently may be about to send one, so idle sessions are evicted before it.
bool SessionRegistry::evictOne() {
  if (closeLongestWaiting(closing_)) return true;
  bool isFirstRequestOverdue = !awaitingFirstRequest_.empty() &&
                               scheduler_.now() - awaitingFirstRequest_.front()->waitingSince >=
                                   limits_.firstRequestGrace;
  bool evictsNewClient = isFirstRequestOverdue || betweenRequests_.empty();
  return closeLongestWaiting(evictsNewClient ? awaitingFirstRequest_ : betweenRequests_);
}

// Reads the socket, because the client may have sent input that its session has not read yet:
// closing then would reset the connection, and a request that was read would get no response.
bool SessionRegistry::hasSentNothing(Session& session) const {
  // Input that was read here for an earlier eviction in the same round is no longer in the socket
  // (test roomForSeveral).
  if (session.hasUnseenInput) return false;
  std::size_t maxBytes = session.inputBytes() + kReadAheadBytes;
  if (session.read(maxBytes) != runtime::Socket::ReadStatus::data) return true;
  session.hasUnseenInput = true;
  session.socket.readable.set();
  return false;
}

bool SessionRegistry::closeLongestWaiting(std::list<Session*>& queue) {
  auto mayClose = [&](Session* session) { return &queue == &closing_ || hasSentNothing(*session); };
  auto longest = std::find_if(queue.begin(), queue.end(), mayClose);
  if (longest == queue.end()) return false;
  Session* session = *longest;
  queue.erase(longest);
  session->waitQueue = nullptr;
  session->close(CloseReason::evicted);
  return true;
}

// Many clients that connect at the same time would evict all sessions between two requests, and
// then each other before they could send a request. So at the limit a new client waits in the
// accept queue until another client has sent no request for firstRequestGrace.
std::optional<TimePoint> SessionRegistry::nextEvictionAt() const {
  if (sessions_.size() < limits_.maxSessions || !closing_.empty() || awaitingFirstRequest_.empty())
    return std::nullopt;
  TimePoint evictableAt = awaitingFirstRequest_.front()->waitingSince + limits_.firstRequestGrace;
  if (evictableAt <= scheduler_.now()) return std::nullopt;
  return evictableAt;
}

}  // namespace reedchute::client

#include "client/session_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace reedchute::client {

void SessionRegistry::add(Session& session) {
  sessions_.push_back(&session);
  session.place = std::prev(sessions_.end());
}

void SessionRegistry::remove(Session& session) {
  if (session.closeReason == CloseReason::none) session.closeReason = CloseReason::clientClosed;
  ++closedCounts_[static_cast<std::size_t>(session.closeReason)];
  sessions_.erase(session.place);
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
  session.waitPlace = std::prev(queue.end());
  session.waitingSince = scheduler_.now();
  bool isSet = co_await event.wait(until);
  if (session.waitQueue) std::exchange(session.waitQueue, nullptr)->erase(session.waitPlace);
  co_return isSet;
}

// Sessions that are closing make room first. Next are clients that have connected and sent nothing,
// as hundreds of them would keep out those with requests; but one that has just come may be about
// to send one.
bool SessionRegistry::evictOne() {
  if (closeLongestWaiting(closing_)) return true;
  bool isSilent = !awaitingFirstRequest_.empty() &&
                  scheduler_.now() - awaitingFirstRequest_.front()->waitingSince >=
                      limits_.firstRequestGrace;
  bool takesSilent = isSilent || betweenRequests_.empty();
  return closeLongestWaiting(takesSilent ? awaitingFirstRequest_ : betweenRequests_);
}

// The client may have sent something that its session has not read yet. A close would reset the
// connection, and a request that was read would have no response.
bool SessionRegistry::hasSentNothing(Session& session) const {
  // What was read for an earlier eviction of this round is not there a second time (test
  // roomForSeveral).
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

// A crowd that comes at once would push out all who are between two requests, and each other before
// they could send one. Where the limit is reached a new client waits in the kernel until another
// has been silent for long enough.
std::optional<TimePoint> SessionRegistry::nextEvictionAt() const {
  if (sessions_.size() < limits_.maxSessions || !closing_.empty() || awaitingFirstRequest_.empty())
    return std::nullopt;
  TimePoint at = awaitingFirstRequest_.front()->waitingSince + limits_.firstRequestGrace;
  if (at <= scheduler_.now()) return std::nullopt;
  return at;
}

}  // namespace reedchute::client

#include "client/arrival_clock.h"

#include <algorithm>

namespace reedchute::client {
namespace {

// Bytes that stood unread for less are not worth asking the kernel about them.
constexpr Duration kLongUnread{10'000};
// For a client whose window has opened to send what stood behind it: a retransmission timeout
// (RFC 6298; 200 ms at least on Linux), after which a lost window update is asked for, and a round
// trip.
constexpr Duration kRefillTime{250'000};
// That a client's kernel holds at most for one connection; Linux's default (tcp(7), tcp_wmem).
constexpr std::size_t kMaxSendBuffer = 4 * 1024 * 1024;  // bytes
// Of the receive buffer. Linux offers half of it or more as the window (tcp(7), tcp_adv_win_scale),
// and a sender may hold back what doesn't fit into half of the window (RFC 9293, 3.8.6.2.1).
constexpr std::size_t kFullWindowPart = 4;

}  // namespace

bool ArrivalClock::needsQueue(const ReadContext& context) const {
  if (refillUntil_) return true;
  TimePoint since = needsLastReceive() ? acceptableSince_ : context.unreadSince;
  return since != kNever && context.now - since >= kLongUnread;
}

TimePoint ArrivalClock::beforeRead(const ReadContext& context) {
  TimePoint first = firstArrival(context);
  if (refillUntil_ && first >= *refillUntil_) {
    refillUntil_.reset();
    since_.reset();
  }
  if (!since_) {
    since_ = first;
    anchor_.reset();
  }
  if (needsQueue(context)) noteQueue(context);
  return std::min(*since_, context.now);
}

// A new connection's bytes may have come at any moment since it could have been accepted.
TimePoint ArrivalClock::firstArrival(const ReadContext& context) const {
  TimePoint since = context.unreadSince == kNever ? context.now : context.unreadSince;
  if (!needsLastReceive()) return since;
  Duration ago = context.sinceLastReceive.value_or(maxAcceptWait_);
  return std::min(since, std::max(acceptableSince_, context.now - ago));
}

void ArrivalClock::noteQueue(const ReadContext& context) {
  if (!context.queue) {
    wasWindowFull_ = true;
    return;
  }
  const runtime::ReceiveQueue& queue = *context.queue;
  if (queue.unreadBytes >= queue.bufferBytes / kFullWindowPart) wasWindowFull_ = true;
  if (anchor_) return;
  anchor_ = context.now;
  bytesUntilAnchor_ = queue.unreadBytes + kMaxSendBuffer;
}

void ArrivalClock::afterRead(TimePoint now, std::size_t bytes, bool drained) {
  bytesUntilAnchor_ -= std::min(bytes, bytesUntilAnchor_);
  if (anchor_ && bytesUntilAnchor_ == 0) {
    since_ = std::max(since_.value_or(*anchor_), *anchor_);
    anchor_.reset();
  }
  if (!drained) return;
  acceptableSince_ = kNever;
  if (wasWindowFull_) refillUntil_ = now + kRefillTime;
  wasWindowFull_ = false;
  if (!refillUntil_) since_.reset();
}

}  // namespace reedchute::client

#include "client/arrival_clock.h"

#include <algorithm>

namespace reedchute::client {
namespace {

// Bytes that have been unread for a shorter time don't justify the system calls that query the
// receive queue.
constexpr Duration kMinUnreadAge{10'000};
// How long a client may take, once its receive window has reopened, to send the data that was
// queued behind the full window: a retransmission timeout (RFC 6298; at least 200 ms on Linux),
// after which the client probes for a lost window update, plus a round trip.
constexpr Duration kWindowRefillTime{250'000};
// The most that a client's kernel buffers for one connection: Linux's default maximum (tcp(7),
// tcp_wmem).
constexpr std::size_t kMaxSendBuffer = 4 * 1024 * 1024;  // bytes
// The window counts as full once unread data fills this fraction of the receive buffer. Linux
// advertises half of the buffer or more as the window (tcp(7), tcp_adv_win_scale), and a sender may
// hold back data that doesn't fit into half of the window (RFC 9293, 3.8.6.2.1).
constexpr std::size_t kFullWindowDivisor = 4;

}  // namespace

bool ArrivalClock::needsQueue(const ReadContext& context) const {
  if (refillUntil_) return true;
  TimePoint earliest = earliestPossible(context);
  TimePoint since = earliest != kNever ? earliest : context.unreadSince;
  return since != kNever && context.now - since >= kMinUnreadAge;
}

TimePoint ArrivalClock::beforeRead(const ReadContext& context) {
  TimePoint first = firstArrival(context);
  if (refillUntil_ && first >= *refillUntil_) {
    refillUntil_.reset();
    earliestArrival_.reset();
  }
  if (!earliestArrival_) {
    earliestArrival_ = first;
    anchorTime_.reset();
  }
  if (needsQueue(context)) noteQueue(context);
  return std::min(*earliestArrival_, context.now);
}

// The bytes of a new connection may have arrived at any time since it could have been accepted,
// and those that a held-up process finds at any time since it last looked.
TimePoint ArrivalClock::firstArrival(const ReadContext& context) const {
  TimePoint since = context.unreadSince == kNever ? context.now : context.unreadSince;
  if (!needsLastReceive(context)) return since;
  Duration ago = context.sinceLastReceive.value_or(maxAcceptWait_);
  return std::min(since, std::max(earliestPossible(context), context.now - ago));
}

void ArrivalClock::noteQueue(const ReadContext& context) {
  if (!context.queue) {
    wasWindowFull_ = true;
    return;
  }
  const runtime::ReceiveQueue& queue = *context.queue;
  if (queue.unreadBytes >= queue.bufferBytes / kFullWindowDivisor) wasWindowFull_ = true;
  if (anchorTime_) return;
  anchorTime_ = context.now;
  bytesUntilAnchorTime_ = queue.unreadBytes + kMaxSendBuffer;
}

void ArrivalClock::afterRead(TimePoint now, std::size_t bytes, bool isDrained) {
  bytesUntilAnchorTime_ -= std::min(bytes, bytesUntilAnchorTime_);
  if (anchorTime_ && bytesUntilAnchorTime_ == 0) {
    earliestArrival_ = std::max(earliestArrival_.value_or(*anchorTime_), *anchorTime_);
    anchorTime_.reset();
  }
  if (!isDrained) return;
  acceptableSince_ = kNever;
  if (wasWindowFull_) refillUntil_ = now + kWindowRefillTime;
  wasWindowFull_ = false;
  if (!refillUntil_) earliestArrival_.reset();
}

}  // namespace reedchute::client

// Bounds the time at which a client sent the bytes that are read from its connection. Does no I/O
// and reads no clock.
#pragma once

#include <cstddef>
#include <optional>

#include "base/time.h"
#include "runtime/receive_queue.h"

namespace reedchute::client {

// The state of a connection right before it is read.
struct ReadContext {
  TimePoint now;
  TimePoint unreadSince = kNever;  // when epoll first reported unread bytes
  // Since when they may have been unread, if the process may have been held up before that.
  TimePoint mayBeUnreadSince = kNever;
  std::optional<Duration> sinceLastReceive = std::nullopt;  // if the kernel reports it
  std::optional<runtime::ReceiveQueue> queue = std::nullopt;
};

// Until the receive queue is found empty, all bytes get the arrival time of the first one: bytes
// read later may have been queued behind it, in the local kernel or, if the receive window was
// full, in the client's kernel. If a client keeps the window full for long, the time is bounded by
// the amount of data that its kernel can buffer.
class ArrivalClock {
 public:
  // `acceptableSince`: the earliest time at which the connection may have entered the accept queue;
  // kNever if it has only just arrived. `maxAcceptWait`: the longest time that it may have waited
  // there, used if the kernel doesn't report when it last received bytes.
  ArrivalClock(TimePoint acceptableSince, Duration maxAcceptWait)
      : acceptableSince_(acceptableSince), maxAcceptWait_(maxAcceptWait) {}

  // Which optional fields of ReadContext the next read depends on; the others need not be queried.
  bool needsLastReceive(const ReadContext& context) const {
    return earliestPossible(context) != kNever;
  }
  bool needsQueue(const ReadContext& context) const;
  // Called before each read. Returns the earliest time at which the bytes of this read may have
  // been sent.
  TimePoint beforeRead(const ReadContext& context);
  // Called after each read. `isDrained`: the receive queue was found empty.
  void afterRead(TimePoint now, std::size_t bytes, bool isDrained);

 private:
  // The earliest time at which unread bytes may have arrived, if that may be before they were
  // reported; otherwise kNever.
  TimePoint earliestPossible(const ReadContext& context) const {
    return acceptableSince_ != kNever ? acceptableSince_ : context.mayBeUnreadSince;
  }
  TimePoint firstArrival(const ReadContext& context) const;
  void noteQueue(const ReadContext& context);

  TimePoint acceptableSince_;  // kNever once the receive queue has been drained
  const Duration maxAcceptWait_;
  std::optional<TimePoint> earliestArrival_;
  bool wasWindowFull_ = false;  // since the receive queue was last drained
  // Until when data that was held back by a full window may still arrive.
  std::optional<TimePoint> refillUntil_;
  // Bytes that are read after another `bytesUntilAnchorTime_` bytes were sent after `anchorTime_`.
  std::optional<TimePoint> anchorTime_;
  std::size_t bytesUntilAnchorTime_ = 0;
};

}  // namespace reedchute::client

// Since when the bytes that are read from one connection may have been sent by its client. No I/O,
// no clock.
#pragma once

#include <cstddef>
#include <optional>

#include "base/time.h"
#include "runtime/receive_queue.h"

namespace reedchute::client {

// What is known of a connection right before it is read.
struct ReadContext {
  TimePoint now;
  TimePoint unreadSince = kNever;            // the kernel's first word on unread bytes
  std::optional<Duration> sinceLastReceive;  // the kernel's, if it tells
  std::optional<runtime::ReceiveQueue> queue;
};

// Until the kernel's buffer is seen empty, all bytes count from the first one: those that are read
// later may have stood behind it, in the kernel here or, where the receive window was full, in the
// client's. A client that keeps the window full for long is bounded by what its kernel can hold.
class ArrivalClock {
 public:
  // `acceptableSince`: since when the connection may have waited to be accepted; kNever: it has
  // just come. `maxAcceptWait`: for how long at most, if the kernel doesn't tell.
  ArrivalClock(TimePoint acceptableSince, Duration maxAcceptWait)
      : acceptableSince_(acceptableSince), maxAcceptWait_(maxAcceptWait) {}

  // Which of the kernel's figures the next read depends on; the others need not be asked for.
  bool needsLastReceive() const { return acceptableSince_ != kNever; }
  bool needsQueue(const ReadContext& context) const;
  // Called before each read. Returns the earliest moment from which the bytes that it brings count.
  TimePoint beforeRead(const ReadContext& context);
  // Called after it. `drained`: the kernel's buffer was found empty.
  void afterRead(TimePoint now, std::size_t bytes, bool drained);

 private:
  TimePoint firstArrival(const ReadContext& context) const;
  void noteQueue(const ReadContext& context);

  TimePoint acceptableSince_;  // kNever once all that waited in the kernel is read
  const Duration maxAcceptWait_;
  std::optional<TimePoint> since_;
  bool wasWindowFull_ = false;
  std::optional<TimePoint> refillUntil_;
  // What is read after `bytesUntilAnchor_` more bytes was sent after `anchor_`.
  std::optional<TimePoint> anchor_;
  std::size_t bytesUntilAnchor_ = 0;
};

}  // namespace reedchute::client

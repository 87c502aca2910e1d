// Exponential backoff: delays between retries, doubled after each failure up to a maximum. Does no
// I/O and reads no clock.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace reedchute::runtime {

class Backoff {
 public:
  Backoff(Duration initialDelay, Duration maxDelay)
      : initialDelay_(initialDelay), maxDelay_(maxDelay), nextDelay_(initialDelay) {}

  // Returns the delay before the next attempt, after an attempt that failed at `now`.
  Duration nextDelay(TimePoint now) {
    if (failingSince_ == kNever) failingSince_ = now;
    Duration delay = nextDelay_;
    nextDelay_ = std::min(nextDelay_ * 2, maxDelay_);
    return delay;
  }
  // To be called after a successful attempt.
  void reset() {
    nextDelay_ = initialDelay_;
    failingSince_ = kNever;
  }
  // The first failure since the last success; kNever if there is none.
  TimePoint failingSince() const { return failingSince_; }

 private:
  Duration initialDelay_;
  Duration maxDelay_;
  Duration nextDelay_;
  TimePoint failingSince_ = kNever;
};

}  // namespace reedchute::runtime

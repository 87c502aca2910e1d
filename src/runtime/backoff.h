// Delays between the retries of something that fails, doubled each time up to a bound. No I/O, no
// clock of its own.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace reedchute::runtime {

class Backoff {
 public:
  Backoff(Duration first, Duration longest) : first_(first), longest_(longest), next_(first) {}

  // The delay before the next try, after one that failed at `now`.
  Duration nextDelay(TimePoint now) {
    if (failingSince_ == kNever) failingSince_ = now;
    Duration delay = next_;
    next_ = std::min(next_ * 2, longest_);
    return delay;
  }
  // To be called when a try has succeeded.
  void reset() {
    next_ = first_;
    failingSince_ = kNever;
  }
  // When the first try failed since the last success; kNever if none has.
  TimePoint failingSince() const { return failingSince_; }

 private:
  Duration first_;
  Duration longest_;
  Duration next_;
  TimePoint failingSince_ = kNever;
};

}  // namespace reedchute::runtime

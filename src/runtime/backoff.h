// Pauses between the tries of something that fails: each twice the last, up to a bound. No I/O, no
// clock.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace reedchute::runtime {

class Backoff {
 public:
  Backoff(Duration first, Duration most) : first_(first), most_(most), next_(first) {}

  // The pause before the next try, after one that failed at `now`.
  Duration after(TimePoint now) {
    if (failingSince_ == kNever) failingSince_ = now;
    Duration pause = next_;
    next_ = std::min(next_ * 2, most_);
    return pause;
  }
  void succeeded() { next_ = first_, failingSince_ = kNever; }
  // When the first of the tries failed that have failed since the last success; kNever: none has.
  TimePoint failingSince() const { return failingSince_; }

 private:
  Duration first_, most_, next_;
  TimePoint failingSince_ = kNever;
};

}  // namespace reedchute::runtime

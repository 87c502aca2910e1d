// A rate per second with exponential decay.
#pragma once

#include <cmath>

#include "base/time.h"

namespace reedchute {

class DecayingRate {
 public:
  // `memory` is the time constant of the decay.
  void add(double amount, Duration memory, TimePoint now) {
    rate_ = at(memory, now) + amount / memory.seconds();
    updatedAt_ = now;
  }
  // The rate per second, decayed up to `now`.
  double at(Duration memory, TimePoint now) const {
    return rate_ * std::exp(-((now - updatedAt_) / memory));
  }
  // The rate per second right after the last `add`.
  double atLastUpdate() const { return rate_; }

 private:
  double rate_ = 0;
  TimePoint updatedAt_ = kNever;
};

}  // namespace reedchute

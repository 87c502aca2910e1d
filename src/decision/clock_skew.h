// How far this process's wall clock may be ahead of the clocks of the stores.
//
// A process's wall clock may be wrong from process start on. A store's position is a time of the
// stores' clocks that has already passed, so the smallest lag observed for any store is an upper
// bound on how far this process's clock can be ahead.
#pragma once

#include <algorithm>
#include <optional>

#include "base/time.h"

namespace reedchute {

class ClockSkew {
 public:
  // A position was received; `lag` is its age by this process's clock. A position in the future
  // counts as having no lag: the store's clock may be ahead.
  void onPosition(Duration lag) {
    Duration seen = std::max(lag, Duration{});
    mostAhead_ = mostAhead_ ? std::min(*mostAhead_, seen) : seen;
  }
  // This process's wall clock was stepped forward by `ahead` (backward if negative).
  void onClockStepped(Duration ahead) {
    if (mostAhead_) mostAhead_ = std::max(*mostAhead_ + ahead, Duration{});
  }

  // The most that this process's clock can be ahead; nullopt before a position is known.
  std::optional<Duration> mostAhead() const { return mostAhead_; }

 private:
  std::optional<Duration> mostAhead_;
};

}  // namespace reedchute

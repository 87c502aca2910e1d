// Converts between wall-clock time and monotonic time. All timing uses the monotonic clock, and no
// other code converts between the two.
#pragma once

#include "base/time.h"

namespace reedchute::runtime {

// The current monotonic time (CLOCK_MONOTONIC).
TimePoint monotonicNow();

class WallClock {
 public:
  WallClock();
  // A clock with a fixed offset until refresh() is called.
  explicit WallClock(Duration offset) : offset_(offset), reportedOffset_(offset) {}

  // Reads both clocks and returns the monotonic time. Conversions use this reading until the next
  // call.
  TimePoint refresh();
  // Returns by how much the wall clock was changed since the last change that this function
  // returned: positive if it was set forward, negative if it was set back. Zero if the change is
  // smaller than `minStep`.
  Duration takeStep(Duration minStep);

  TimePoint toSteady(WallTime time) const { return TimePoint{} + (time - WallTime{} - offset_); }
  WallTime toWall(TimePoint time) const { return WallTime{} + (time - TimePoint{} + offset_); }

 private:
  Duration offset_;  // wall clock minus monotonic clock
  Duration reportedOffset_;
};

}  // namespace reedchute::runtime

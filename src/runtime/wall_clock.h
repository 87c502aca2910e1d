// The offset of the wall clock from the monotonic clock, by which everything is timed. The one
// place that converts times from one to the other.
#pragma once

#include "base/time.h"

namespace reedchute::runtime {

TimePoint monotonicNow();

class WallClock {
 public:
  WallClock();
  // A clock with a fixed offset until refresh() is called.
  explicit WallClock(Duration offset) : offset_(offset), reportedOffset_(offset) {}

  // Reads both clocks and returns the monotonic time. Conversions use this reading until the next.
  TimePoint refresh();
  // By how much the wall clock was set since the last step that this function reported: positive
  // when it was set ahead, negative when it was set back. Zero while that is less than `least`.
  Duration takeStep(Duration least);

  TimePoint toSteady(WallTime time) const { return TimePoint{} + (time - WallTime{} - offset_); }
  WallTime toWall(TimePoint time) const { return WallTime{} + (time - TimePoint{} + offset_); }

 private:
  Duration offset_;  // wall clock minus monotonic clock
  Duration reportedOffset_;
};

}  // namespace reedchute::runtime

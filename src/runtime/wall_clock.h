// Where the wall clock stands beside the monotonic one, by which all is timed. The one place that
// brings moments from one to the other.
#pragma once

#include "base/time.h"

namespace reedchute::runtime {

TimePoint monotonicNow();

class WallClock {
 public:
  WallClock();
  // One that stands at this, until somebody looks.
  explicit WallClock(Duration offset) : offset_(offset), believed_(offset) {}

  // Looks at both clocks, and returns the monotonic one's time. Moments are brought over by this
  // look until the next.
  TimePoint look();
  // By how much the wall clock was set ahead (or back: below zero) of where it was believed when
  // this last said so; nothing while that is less than `least`.
  Duration stepped(Duration least);

  TimePoint pointOf(WallTime moment) const { return TimePoint{} + (moment - WallTime{} - offset_); }
  WallTime wallOf(TimePoint point) const { return WallTime{} + (point - TimePoint{} + offset_); }

 private:
  Duration offset_, believed_;  // what the wall clock shows more than the monotonic one
};

}  // namespace reedchute::runtime

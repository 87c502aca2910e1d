#include "runtime/wall_clock.h"

#include <algorithm>
#include <ctime>

namespace reedchute::runtime {
namespace {

std::int64_t readUs(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return time.tv_sec * 1'000'000LL + time.tv_nsec / 1000;
}

}  // namespace

TimePoint monotonicNow() {
  return TimePoint{readUs(CLOCK_MONOTONIC)};
}

WallClock::WallClock() {
  offset_ = Duration{readUs(CLOCK_REALTIME) - readUs(CLOCK_MONOTONIC)};
  refresh();
  reportedOffset_ = offset_;
}

// If the process is delayed between reading the two clocks, the wall clock seems to have been set.
// The wall clock is therefore read between two readings of the monotonic clock. These bound the
// offset, and an offset within the bounds counts as unchanged.
TimePoint WallClock::refresh() {
  Duration before{readUs(CLOCK_MONOTONIC)};
  Duration wall{readUs(CLOCK_REALTIME)};
  Duration after{readUs(CLOCK_MONOTONIC)};
  offset_ = std::clamp(offset_, wall - after, wall - before);
  return TimePoint{} + after;
}

Duration WallClock::takeStep(Duration minStep) {
  Duration ahead = offset_ - reportedOffset_;
  if (ahead < minStep && ahead > Duration{} - minStep) return {};
  reportedOffset_ = offset_;
  return ahead;
}

}  // namespace reedchute::runtime

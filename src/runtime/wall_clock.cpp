#include "runtime/wall_clock.h"

#include <time.h>

#include <algorithm>

namespace reedchute::runtime {
namespace {

std::int64_t read(clockid_t clock) {
  timespec t{};
  clock_gettime(clock, &t);
  return t.tv_sec * 1'000'000LL + t.tv_nsec / 1000;
}

}  // namespace

TimePoint monotonicNow() {
  return TimePoint{read(CLOCK_MONOTONIC)};
}

WallClock::WallClock() {
  offset_ = Duration{read(CLOCK_REALTIME) - read(CLOCK_MONOTONIC)};
  look();
  believed_ = offset_;
}

// Danger: a process may stand still between two readings, and the wall clock would seem to have
// been set. Read in the middle, it shows between which two the offset lies; where it may have
// stayed as it was, it has.
TimePoint WallClock::look() {
  Duration before{read(CLOCK_MONOTONIC)}, wall{read(CLOCK_REALTIME)}, after{read(CLOCK_MONOTONIC)};
  offset_ = std::clamp(offset_, wall - after, wall - before);
  return TimePoint{} + after;
}

Duration WallClock::stepped(Duration least) {
  Duration ahead = offset_ - believed_;
  if (ahead < least && ahead > Duration{} - least) return {};
  believed_ = offset_;
  return ahead;
}

}  // namespace reedchute::runtime

// Points in time, spans of time and moments of the wall clock, in microseconds: three types, so
// that none is taken for another.
#pragma once

#include <compare>
#include <cstdint>

namespace reedchute {

struct Duration {
  std::int64_t us = 0;

  constexpr auto operator<=>(const Duration&) const = default;
  constexpr Duration operator+(Duration o) const { return {us + o.us}; }
  constexpr Duration operator-(Duration o) const { return {us - o.us}; }
  constexpr Duration operator*(double k) const {
    return {static_cast<std::int64_t>(static_cast<double>(us) * k)};
  }
  constexpr double operator/(Duration o) const {
    return static_cast<double>(us) / static_cast<double>(o.us);
  }
  constexpr double seconds() const { return static_cast<double>(us) / 1e6; }
};

struct TimePoint {
  std::int64_t us = 0;

  constexpr auto operator<=>(const TimePoint&) const = default;
  constexpr TimePoint operator+(Duration s) const { return {us + s.us}; }
  constexpr TimePoint operator-(Duration s) const { return {us - s.us}; }
  constexpr Duration operator-(TimePoint o) const { return {us - o.us}; }
};

// A moment as the world names it, in Unix time. The wall clock may be set at any time, so nothing
// is timed by it: what a protocol tells in it is brought to the monotonic clock first
// (runtime/wall_clock.h).
struct WallTime {
  std::int64_t us = 0;

  constexpr auto operator<=>(const WallTime&) const = default;
  constexpr WallTime operator+(Duration s) const { return {us + s.us}; }
  constexpr WallTime operator-(Duration s) const { return {us - s.us}; }
  constexpr Duration operator-(WallTime o) const { return {us - o.us}; }
};

// Earlier than anything a clock shows, and far enough from the type's end to be subtracted from.
inline constexpr TimePoint kNever{INT64_MIN / 4};
inline constexpr TimePoint kForever{INT64_MAX / 4};

}  // namespace reedchute

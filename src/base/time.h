// Durations, points in time of the monotonic clock, and times of the wall clock, in microseconds.
// They are separate types so that they can't be confused.
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

// A time of the monotonic clock.
struct TimePoint {
  std::int64_t us = 0;

  constexpr auto operator<=>(const TimePoint&) const = default;
  constexpr TimePoint operator+(Duration s) const { return {us + s.us}; }
  constexpr TimePoint operator-(Duration s) const { return {us - s.us}; }
  constexpr Duration operator-(TimePoint o) const { return {us - o.us}; }
};

// A time of the wall clock, in Unix time. The wall clock may be set at any moment, so it isn't used
// for timing: wall-clock times that a protocol carries are first converted to the monotonic clock
// (runtime/wall_clock.h).
struct WallTime {
  std::int64_t us = 0;

  constexpr auto operator<=>(const WallTime&) const = default;
  constexpr WallTime operator+(Duration s) const { return {us + s.us}; }
  constexpr WallTime operator-(Duration s) const { return {us - s.us}; }
  constexpr Duration operator-(WallTime o) const { return {us - o.us}; }
};

// Earlier and later than any time of the clock, and far enough from the limits of the type that
// differences and sums with durations don't overflow.
inline constexpr TimePoint kNever{INT64_MIN / 4};
inline constexpr TimePoint kForever{INT64_MAX / 4};

}  // namespace reedchute

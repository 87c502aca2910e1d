// Points in time and spans of time, in microseconds: two types, so that neither is taken for the other.
#pragma once

#include <compare>
#include <cstdint>

namespace reedchute {

struct Span {
  std::int64_t us = 0;

  constexpr auto operator<=>(const Span&) const = default;
  constexpr Span operator+(Span o) const { return {us + o.us}; }
  constexpr Span operator-(Span o) const { return {us - o.us}; }
  constexpr Span operator*(double k) const {
    return {static_cast<std::int64_t>(static_cast<double>(us) * k)};
  }
  constexpr double operator/(Span o) const { return static_cast<double>(us) / static_cast<double>(o.us); }
  constexpr double seconds() const { return static_cast<double>(us) / 1e6; }
};

struct TimePoint {
  std::int64_t us = 0;

  constexpr auto operator<=>(const TimePoint&) const = default;
  constexpr TimePoint operator+(Span s) const { return {us + s.us}; }
  constexpr TimePoint operator-(Span s) const { return {us - s.us}; }
  constexpr Span operator-(TimePoint o) const { return {us - o.us}; }
};

// Earlier than anything a clock shows, and far enough from the type's end to be subtracted from.
inline constexpr TimePoint kNever{INT64_MIN / 4};
inline constexpr TimePoint kForever{INT64_MAX / 4};

}  // namespace reedchute

// The slow start terms that the fronts' settings contain and the stores and the oracle apply.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace soak {

inline constexpr double kColdFrom = 0.27, kColdMultiple = 2.5;

// What a store can do, and how it starts.
struct StoreTerms {
  int workers = 2;  // statements that it executes at the same time
  int serviceUs = 2'000;
  int maxQueued = 10'000;  // statements that may wait for a worker; more are refused
  std::int64_t rampUs = 4'000'000;
  std::int64_t windowUs = 1'000'000;
  bool fails = false;  // a cold store that gets more than mostInWindow() ends

  // Statements in a window that a warm store can execute.
  double capacityInWindow() const { return static_cast<double>(windowUs) * workers / serviceUs; }
  double warmth(std::int64_t ageUs) const {
    return kColdFrom + (1 - kColdFrom) *
                           std::min(1.0, static_cast<double>(ageUs) / static_cast<double>(rampUs));
  }
};

// The most statements in a window that a cold store bears, if a warm store of its size gets
// `inWindow`.
inline double mostInWindow(double inWindow, double warmth) {
  double n = kColdMultiple * warmth * inWindow;
  return n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
}

}  // namespace soak

// The random source of an engine. All of an engine's draws come from one source in a fixed order,
// so a run can be replayed from its seed.
#pragma once

#include <random>

namespace reedchute {

using RandomSource = std::ranlux24_base;

// A draw from the open interval (0, 1).
inline double drawUnit(RandomSource& random) {
  constexpr double kRange = 16777216.0;  // values of a 24-bit source
  return (static_cast<double>(random()) + 0.5) / kRange;
}

}  // namespace reedchute

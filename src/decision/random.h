// The random number generator of an engine. An engine draws all its random numbers from one
// generator in a fixed order, so a run can be replayed from its seed.
#pragma once

#include <random>

namespace reedchute {

using RandomSource = std::ranlux24_base;

// Returns a random number from the open interval (0, 1).
inline double drawUnit(RandomSource& random) {
  constexpr double kRange = 16777216.0;  // number of values of a 24-bit generator
  return (static_cast<double>(random()) + 0.5) / kRange;
}

}  // namespace reedchute

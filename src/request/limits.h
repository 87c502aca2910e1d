// Limits of numbers that clients, stores and settings give, the same in all protocols.
#pragma once

#include <cstdint>

namespace reedchute::request {

inline constexpr std::int64_t kMaxTimeoutMs = 86'400'000;  // one day
// Of a position or commit time, in Unix time: in the year 5138, and far below the value at which a
// conversion to microseconds overflows.
inline constexpr std::int64_t kMaxPositionMs = 100'000'000'000'000;

}  // namespace reedchute::request

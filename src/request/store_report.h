// Parsers for the load reports of stores, shared by all protocols. No I/O.
#pragma once

#include <optional>
#include <string_view>

#include "base/time.h"
#include "decision/engine.h"
#include "request/limits.h"

namespace reedchute::request {

struct StoreReport {
  std::optional<WallTime> position;  // how far the store has replicated
  std::optional<bool> isPrimary;
};

// Parses comma-separated name=value pairs. Malformed pairs are ignored. A report whose position is
// later than `newest`, the latest plausible one, is ignored as a whole.
StoreReport parseStoreReport(std::string_view text, WallTime newest);

// Parses the role that a store sends with its responses; Role::unknown for other words.
Role parseStoreRole(std::string_view word);

// The latest position that a store can state, whatever the time is.
inline constexpr WallTime kLatestPosition{kMaxPositionMs * 1000};

// Parses a position in milliseconds of Unix time. Returns nullopt if it is not a positive number or
// is later than `newest`.
std::optional<WallTime> parseStorePosition(std::string_view text, WallTime newest);

}  // namespace reedchute::request

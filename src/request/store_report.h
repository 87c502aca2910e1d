// Parsers of the load reports that stores send, in whatever protocol they arrive. No I/O.
#pragma once

#include <optional>
#include <string_view>

#include "base/time.h"
#include "decision/engine.h"

namespace reedchute::request {

struct StoreReport {
  std::optional<WallTime> position;  // up to where the store has replicated
  std::optional<bool> isPrimary;
};

// Parses comma-separated name=value pairs. A report whose position lies after `newest` is ignored
// as a whole.
StoreReport parseStoreReport(std::string_view text, WallTime newest);

// Parses the role that a store states beside its responses.
Role parseStoreRole(std::string_view word);

// Parses a position in milliseconds of Unix time; nothing where it is no number or lies after
// `newest`.
std::optional<WallTime> parseStorePosition(std::string_view text, WallTime newest);

}  // namespace reedchute::request

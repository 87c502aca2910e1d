// Translates the words and codes of the simulator's protocol into types of the decision engine.
// Only this module knows these values.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "decision/engine.h"

namespace reedchute::simulator {

// Parses the result code of an attempt or probe. Throws InvalidInput.
AttemptOutcome outcomeFrom(std::int64_t code);

// Parses the one-letter status of an endpoint. Throws InvalidInput.
EndpointStatus endpointStatusFrom(std::string_view letter);

// The kind of endpoint list that a REGISTRY message delivers.
enum class ListKind {
  failed,      // the endpoint list could not be fetched
  partial,     // changed entries only
  full,        // all entries
  cachedFull,  // all entries, but not from the discovery service
};
// Throws InvalidInput.
ListKind listKindFrom(std::string_view word);

// What a store reports about itself in the field `mark` of a response: role + 4 * position in ms,
// where role 1 is a primary and 2 a replica. A position of 0 means that none was reported.
struct StoreMark {
  Role role = Role::unknown;
  std::optional<Duration> position;  // since extra.origin_time
};
StoreMark storeMarkFrom(std::int64_t mark);

// Names of the values in a load report.
inline constexpr std::string_view kPositionField = "x0";  // seconds since extra.origin_time
inline constexpr std::string_view kPrimaryField = "x1";   // above 0.5: the store is the primary

}  // namespace reedchute::simulator

// The simulator's words and codes, and what they stand for here. The one place that knows them.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "decision/engine.h"

namespace reedchute::simulator {

// The outcome of an attempt or probe by its code. Throws InvalidInput.
AttemptOutcome outcomeFrom(std::int64_t code);

// An endpoint's status by its letter. Throws InvalidInput.
EndpointStatus endpointStatusFrom(std::string_view letter);

// What the message REGISTRY brings.
enum class ListKind {
  failed,      // the list could not be had
  partial,     // changed entries only
  full,        // all entries
  cachedFull,  // all entries, but not from the discovery service
};
ListKind listKindFrom(std::string_view word);  // throws InvalidInput

// What a store says of itself in the field `mark` of a response.
struct StoreMark {
  Role role = Role::unknown;
  std::optional<Duration> position;  // since the origin of time
};
StoreMark storeMarkFrom(std::int64_t mark);

// Names in a load report.
inline constexpr std::string_view kPositionField = "x0";  // seconds since the origin of time
inline constexpr std::string_view kPrimaryField = "x1";   // above 0.5: it is the primary

}  // namespace reedchute::simulator

// Maps the code of a store's ERROR to the outcome of the attempt, in particular whether the
// statement may have run. No I/O.
#pragma once

#include <cstdint>
#include <string_view>

#include "decision/engine.h"

namespace reedchute::protocols::cassandra {

// `reason`: why the store rejected the statement, as stated in the custom payload: "role",
// "behind", or empty if the payload has none. Unprepared is usually handled before, by preparing
// the text at the store and continuing the attempt.
AttemptOutcome outcomeOf(std::int32_t code, std::string_view reason);

}  // namespace reedchute::protocols::cassandra

// Decides what a store's ERROR says of an execution: above all whether it may have run. No I/O.
#pragma once

#include <cstdint>
#include <string_view>

#include "decision/engine.h"

namespace reedchute::protocols::cassandra {

// `turned`: the custom payload's word for why a store turned a statement away, "role" or "behind";
// empty where it has none. Unprepared isn't here: it is no end, the text is prepared there and the
// execution goes on.
AttemptOutcome endingOf(std::int32_t code, std::string_view turned);

}  // namespace reedchute::protocols::cassandra

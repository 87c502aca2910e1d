// What a store's ERROR says of an attempt: above all whether it may have run. No I/O.
#pragma once

#include <cstdint>
#include <string_view>

#include "decision/engine.h"

namespace reedchute::protocols::cassandra {

// `reason`: the custom payload's word for why a store turned a statement away, "role" or "behind";
// empty where it has none. Unprepared usually doesn't come here: the text is prepared there and the
// attempt goes on.
AttemptOutcome outcomeOf(std::int32_t code, std::string_view reason);

}  // namespace reedchute::protocols::cassandra

// Classification of the SQLSTATE with which a store fails an attempt. No I/O.
#pragma once

#include <string_view>

#include "decision/engine.h"

namespace reedchute::protocols::postgres {

// Returns the outcome of an attempt that failed with this SQLSTATE.
AttemptOutcome outcomeOf(std::string_view sqlState);

// Whether the error is logged. Errors by which a store only sends the attempt elsewhere are
// not, and neither is XX000 (internal_error).
bool isLogged(std::string_view sqlState);

}  // namespace reedchute::protocols::postgres

// What a store's SQLSTATE says of the attempt that met it. No I/O.
#pragma once

#include <string_view>

#include "decision/engine.h"

namespace reedchute::protocols::postgres {

AttemptOutcome outcomeOf(std::string_view sqlState);

// Is the error worth a line in the log? Those by which a store sends an attempt elsewhere are not.
bool isLogged(std::string_view sqlState);

}  // namespace reedchute::protocols::postgres

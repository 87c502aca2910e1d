// The names of attempt outcomes in the log.
#pragma once

#include "decision/engine.h"

namespace reedchute::request {

// Returns a string literal; "moot" for attempts that were never sent.
const char* nameOf(AttemptOutcome outcome);

}  // namespace reedchute::request

// The names of attempt outcomes in the log.
#pragma once

#include "decision/engine.h"

namespace reedchute::request {

const char* nameOf(AttemptOutcome outcome);

}  // namespace reedchute::request

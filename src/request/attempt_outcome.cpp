#include "request/attempt_outcome.h"

namespace reedchute::request {

const char* nameOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::ok:
      return "ok";
    case AttemptOutcome::notServedHere:
      return "miss";
    case AttemptOutcome::overloaded:
      return "full";
    case AttemptOutcome::error:
      return "error";
    case AttemptOutcome::malformedResponse:
      return "spoilt";
    case AttemptOutcome::invalid:
      return "invalid";
    case AttemptOutcome::timeout:
      return "timeout";
    case AttemptOutcome::connectFailed:
      return "connect_failed";
    case AttemptOutcome::reset:
      return "reset";
    case AttemptOutcome::cancelled:
      return "cancelled";
    default:
      return "moot";
  }
}

}  // namespace reedchute::request

#include "protocols/cassandra/error_outcomes.h"

#include "codec/cql/wire.h"

namespace reedchute::protocols::cassandra {

namespace cql = reedchute::cql;

AttemptOutcome outcomeOf(std::int32_t code, std::string_view reason) {
  switch (code) {
    // Never ran. Unavailable is returned before any replica is queried, and by stores that state
    // their reason for a rejection in the custom payload.
    case cql::kUnavailable: {
      bool isServedElsewhere = reason == "role" || reason == "behind";
      return isServedElsewhere ? AttemptOutcome::notServedHere : AttemptOutcome::overloaded;
    }
    case cql::kOverloaded:
    case cql::kBootstrapping:
    case cql::kUnprepared:
      return AttemptOutcome::overloaded;
    // The statement is invalid at every store; the error is returned to the client.
    case cql::kProtocolError:
    case cql::kSyntaxError:
    case cql::kUnauthorized:
    case cql::kInvalid:
    case cql::kConfigError:
    case cql::kAlreadyExists:
    case cql::kFunctionFailure:
      return AttemptOutcome::invalid;
    // May have run: timeouts and failures of all write types (also of BATCH_LOG, as a part of the
    // log may have been written and is replayed), server errors, and codes that no specification
    // defines.
    default:
      return AttemptOutcome::error;
  }
}

}  // namespace reedchute::protocols::cassandra

#include "protocols/cassandra/error_outcomes.h"

#include "codec/cql/wire.h"

namespace reedchute::protocols::cassandra {

namespace cql = reedchute::cql;

AttemptOutcome outcomeOf(std::int32_t code, std::string_view reason) {
  switch (code) {
    // Never ran. Unavailable is said before any replica is asked, and by stores that tell why they
    // turn away.
    case cql::kUnavailable: {
      bool isElsewhere = reason == "role" || reason == "behind";
      return isElsewhere ? AttemptOutcome::notServedHere : AttemptOutcome::overloaded;
    }
    case cql::kOverloaded:
    case cql::kBootstrapping:
    case cql::kUnprepared:
      return AttemptOutcome::overloaded;
    // The statement is at fault wherever it is sent; its client is told so.
    case cql::kProtocolError:
    case cql::kSyntaxError:
    case cql::kUnauthorized:
    case cql::kInvalid:
    case cql::kConfigError:
    case cql::kAlreadyExists:
    case cql::kFunctionFailure:
      return AttemptOutcome::invalid;
    // May have run: time-outs and failures of each write type (of BATCH_LOG too, as a part of the
    // log may have been written and is replayed), a server's error, and whatever no specification
    // names.
    default:
      return AttemptOutcome::error;
  }
}

}  // namespace reedchute::protocols::cassandra

#include "protocols/cassandra/error_outcomes.h"

#include "codec/cql/wire.h"

namespace reedchute::protocols::cassandra {

AttemptOutcome endingOf(std::int32_t code, std::string_view turned) {
  switch (code) {
    // Never ran. Unavailable is said before any replica is asked, and by stores that tell why they
    // turn away.
    case reedchute::cql::kUnavailable:
      return turned == "role" || turned == "behind" ? AttemptOutcome::notServedHere
                                                    : AttemptOutcome::overloaded;
    case reedchute::cql::kOverloaded:
    case reedchute::cql::kBootstrapping:
    case reedchute::cql::kUnprepared:
      return AttemptOutcome::overloaded;
    // The statement is at fault wherever it is sent; its client is told so.
    case reedchute::cql::kProtocolError:
    case reedchute::cql::kSyntaxError:
    case reedchute::cql::kUnauthorized:
    case reedchute::cql::kInvalid:
    case reedchute::cql::kConfigError:
    case reedchute::cql::kAlreadyExists:
    case reedchute::cql::kFunctionFailure:
      return AttemptOutcome::invalid;
    // May have run: time-outs and failures of each write type (of BATCH_LOG too, as a part of the
    // log may have been written and is replayed), a server's error, and whatever no specification
    // names.
    default:
      return AttemptOutcome::error;
  }
}

}  // namespace reedchute::protocols::cassandra

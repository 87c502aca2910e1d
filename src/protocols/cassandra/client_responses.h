// Encodes the bodies of responses that the proxy itself generates. No I/O.
#pragma once

#include <string>

#include "base/time.h"
#include "protocols/cassandra/statement_decoder.h"

namespace reedchute::protocols::cassandra {

// The body of SUPPORTED, the response to OPTIONS.
std::string supportedBody(bool isVersion5Offered);

// The error text for a client whose first frame has an unsupported protocol version. Lists the
// supported versions.
std::string unsupportedVersionText(int version, bool isVersion5Offered);

// The body of ERROR (Overloaded) for a statement that was not executed. If `retryAfter` is above
// zero, the body starts with a custom payload that contains `retry_after_ms`, and the frame needs
// the payload flag.
std::string rejectionBody(Duration retryAfter);

// The body of ERROR (Read_timeout or Write_timeout) for a statement that may have been executed.
// Never Overloaded or Unavailable, after which clients assume that a retry is safe; a write timeout
// of any write type makes no such promise. `version` is the connection's protocol version.
std::string abortBody(const Pending& pending, int version);

}  // namespace reedchute::protocols::cassandra

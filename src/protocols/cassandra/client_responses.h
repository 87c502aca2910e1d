// The bodies of the responses that the proxy words itself. No I/O.
#pragma once

#include <string>

#include "base/time.h"
#include "protocols/cassandra/statement_decoder.h"

namespace reedchute::protocols::cassandra {

// SUPPORTED, in answer to OPTIONS.
std::string supportedBody(bool isVersion5Offered);

// The text of the error for a client that begins with a version the proxy doesn't speak.
std::string unsupportedVersionText(int version, bool isVersion5Offered);

// ERROR for a statement of which nothing has run. It begins with a custom payload where
// `retryAfter` is above zero.
std::string rejectionBody(Duration retryAfter);

// ERROR for a statement that may have run. It is never Overloaded or Unavailable, which tell a
// client that a retry is harmless; a write time-out of any type promises nothing.
std::string abortBody(const Pending& pending, int version);

}  // namespace reedchute::protocols::cassandra

// Resource limits and timeouts for the clients of one protocol.
#pragma once

#include <cstddef>

#include "base/time.h"

namespace reedchute::client {

// Input that is buffered for a client while a response is pending.
inline constexpr std::size_t kReadAheadBytes = 16 * 1024;

// While the proxy shuts down, a connection without pending responses is kept open for at most:
inline constexpr Duration kDrainMessageTime{50'000};  // for a client to finish a message
inline constexpr Duration kDrainIdleTime{50'000};     // for a client to send its next request
inline constexpr Duration kDrainLinger{50'000};       // for a client to read what was written last
// A client has at least this long from the beginning of the drain to see the end of its connection.
// Closing earlier would reset the connection if a request crosses that end (test restingShut).
inline constexpr Duration kMinDrainTime{120'000};

struct ClientLimits {
  std::size_t maxSessions = 0;
  Duration linger;                 // for a client to read its final message
  Duration writeProgressTimeout;   // for a client to read some of the data written to it
  Duration firstRequestGrace;      // within which a new client should send its first request
  Duration messageTimeout;         // for a client to send a whole message, from when it is awaited
  Duration idleTimeout;            // between two requests, if over half of maxSessions are open
  std::size_t maxIdle = 0;         // connections between two requests
  std::size_t maxBufferBytes = 0;  // buffers of all sessions together
};

}  // namespace reedchute::client

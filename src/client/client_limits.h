// What the clients of one protocol may hold, and how long they may take.
#pragma once

#include <cstddef>

#include "base/time.h"

namespace reedchute::client {

inline constexpr std::size_t kReadAheadBytes = 16 * 1024;  // of a client that awaits a response

// Once the proxy shuts down, a connection that owes its client nothing is kept for no longer:
inline constexpr Duration kDrainMessageTime{50'000};  // for a client to finish a message
inline constexpr Duration kDrainIdleTime{50'000};     // for a client to send its next request
inline constexpr Duration kDrainLinger{50'000};       // for a client to read what was written last
// The least time from the drain's beginning in which a client may read its connection's end before
// it is closed over a request that crosses the end (test restingShut).
inline constexpr Duration kMinDrainTime{120'000};

struct ClientLimits {
  std::size_t maxSessions = 0;
  Duration linger;                 // for a client to read its final message
  Duration writeProgressTimeout;   // for a client to read a part of what is written to it
  Duration firstRequestGrace;      // within which a new client is likely to send its first request
  Duration messageTimeout;         // for a client to begin, and to finish a message
  Duration idleTimeout;            // of a connection between two requests, where many are open
  std::size_t maxIdle = 0;         // connections between two requests
  std::size_t maxBufferBytes = 0;  // of the buffers of all sessions together
};

}  // namespace reedchute::client

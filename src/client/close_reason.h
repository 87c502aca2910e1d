// Why the connection with a client ended.
#pragma once

namespace reedchute::client {

enum class CloseReason {
  none,          // it is open
  clientClosed,  // the client closed or reset it
  finalMessage,  // the client was sent a final message, or took its leave
  idle,          // it was idle for too long
  evicted,       // closed to make room for another
  draining,      // the proxy shuts down
  slowReader,    // the client leaves too much unread
  writeFailed,   // a response couldn't be written in time
  taskFailed,    // an exception
  count
};
// As the log words it.
const char* nameOf(CloseReason reason);

}  // namespace reedchute::client

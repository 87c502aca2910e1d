// Why a client's connection ended.
#pragma once

namespace reedchute::client {

enum class CloseReason {
  none,          // the connection is open
  clientClosed,  // the client closed or reset it
  finalMessage,  // after the proxy's final message, or the client's own termination message
  idle,          // it was idle for too long
  evicted,       // closed to make room for another
  draining,      // the proxy shuts down
  slowReader,    // the client leaves too much output unread
  writeFailed,   // a response couldn't be written in time
  taskFailed,    // the session's coroutine threw an exception
  count
};
// Returns the value written to the log.
const char* nameOf(CloseReason reason);

}  // namespace reedchute::client

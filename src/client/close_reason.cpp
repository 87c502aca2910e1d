#include "client/close_reason.h"

namespace reedchute::client {

const char* nameOf(CloseReason reason) {
  switch (reason) {
    case CloseReason::clientClosed:
      return "client";
    case CloseReason::finalMessage:
      return "last_word";
    case CloseReason::idle:
      return "idle";
    case CloseReason::evicted:
      return "makes_room";
    case CloseReason::draining:
      return "leaving";
    case CloseReason::slowReader:
      return "reads_nothing";
    case CloseReason::writeFailed:
      return "write_failed";
    case CloseReason::taskFailed:
      return "fault";
    default:
      return "none";
  }
}

}  // namespace reedchute::client

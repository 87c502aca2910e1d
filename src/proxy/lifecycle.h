// The phases of a proxy process, in order.
#pragma once

namespace reedchute::proxy {

enum class Lifecycle {
  starting,      // statements wait for the first endpoint list
  serving,       // all statements are accepted
  draining,      // a termination signal was received; new clients are still served for a while
  shuttingDown,  // new statements are rejected, idle clients closed, open statements answered
  ended,
};

// The name of the phase in the log.
inline const char* nameOf(Lifecycle phase) {
  switch (phase) {
    case Lifecycle::starting:
      return "starting";
    case Lifecycle::serving:
      return "serving";
    case Lifecycle::draining:
      return "leaving";
    case Lifecycle::shuttingDown:
      return "closing";
    default:
      return "ended";
  }
}

}  // namespace reedchute::proxy

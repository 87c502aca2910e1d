// The phases of a proxy process, in their order.
#pragma once

namespace reedchute::proxy {

enum class Lifecycle {
  starting,      // statements wait until the first endpoint list has come
  serving,       // all statements are accepted
  draining,      // a signal to end has come; clients that arrive are still served for a while
  shuttingDown,  // no new statements; idle clients are closed, open statements get their answer
  ended,
};

// The phase's name in the log.
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

// Counts violations of invariants that are detected at run time, and logs each as
// `invariant_violated`. A check never changes the proxy's behaviour.
#pragma once

#include <cstdint>

namespace reedchute::invariants {

enum class Rule {
  everyResponseSent,  // every statement that was read gets a response before its connection closes
  clientPresent,      // nothing is sent to a store for a client that has disconnected
  withinDeadline,     // nothing is sent after its deadline, nor with a time-out beyond it
  drainGrace,         // nothing is sent to a draining store after the drain grace
  singleEffect,       // no retry repeats the effect of an earlier attempt
  freshness,          // no read is sent later than its store is known to be fresh enough
  slowStart,          // a cold store is not sent more than its slow start allows
  count
};
// The value in log lines and counters.
const char* nameOf(Rule rule);

// Counts and logs a violation. `format` and its arguments make the `key=value` fields that the log
// line has after `rule=`.
void reportViolation(Rule rule, const char* format, ...) __attribute__((format(printf, 2, 3)));

// The number of violations since the process started.
std::uint64_t violationCount(Rule rule);

}  // namespace reedchute::invariants

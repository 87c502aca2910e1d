// Counts violations of the rules that are found at run time, and logs each as `invariant_violated`.
// A check never changes what the proxy does.
#pragma once

#include <cstdint>

namespace reedchute::invariants {

enum class Rule {
  everyResponseSent,  // a statement that was read has its response before its connection ends
  clientPresent,      // nothing is sent to a store for a client that has gone
  withinDeadline,     // nor after its deadline; no store is announced more time than is left
  drainGrace,         // nothing is sent to a draining store after the grace
  singleEffect,       // no retry repeats an effect
  freshness,          // no bounded read is sent later than its store is known to be fresh
  slowStart,          // a cold store is not sent more than its slow start allows
  count
};
// As the log words it.
const char* nameOf(Rule rule);

// Counts and logs a violation; the format adds fields to the log line.
void reportViolation(Rule rule, const char* format, ...) __attribute__((format(printf, 2, 3)));

// Since the start of the process.
std::uint64_t violationCount(Rule rule);

}  // namespace reedchute::invariants

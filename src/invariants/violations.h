// Run-time checks of the rules: each violation is counted and logged as `invariant_violated`. A
// check never changes what is done.
#pragma once

#include <cstdint>

namespace reedchute::invariants {

enum class Rule {
  everyResponseSent,  // a statement that was read gets its answer before its connection ends
  clientPresent,      // nothing leaves for a client that has gone
  withinDeadline,     // nothing leaves after its client's time, and a store is told no more than is
                      // left
  drainGrace,         // nothing leaves for a draining store after the grace
  singleEffect,       // no second effect
  freshness,          // no bounded read leaves later than its store is known to be fresh
  slowStart,          // a cold store is not sent more than its start allows
  count
};
const char* nameOf(Rule rule);

// Counts one, and logs it with further fields.
void reportViolation(Rule rule, const char* format, ...) __attribute__((format(printf, 2, 3)));

// Since the start.
std::uint64_t violationCount(Rule rule);
std::uint64_t violations();

}  // namespace reedchute::invariants

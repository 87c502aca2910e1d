#include "invariants/violations.h"

#include <array>
#include <cstdarg>
#include <cstdio>

#include "log/log.h"

namespace reedchute::invariants {
namespace {

constexpr std::size_t kMaxFieldBytes = 320;  // per log line; longer ones are cut off

std::array<std::uint64_t, static_cast<std::size_t>(Rule::count)> counts;

}  // namespace

const char* nameOf(Rule rule) {
  switch (rule) {
    case Rule::everyResponseSent:
      return "answer";
    case Rule::clientPresent:
      return "client";
    case Rule::withinDeadline:
      return "time";
    case Rule::drainGrace:
      return "drain";
    case Rule::singleEffect:
      return "repeat";
    case Rule::freshness:
      return "freshness";
    case Rule::slowStart:
      return "slow_start";
    default:
      return "none";
  }
}

void reportViolation(Rule rule, const char* format, ...) {
  ++counts[static_cast<std::size_t>(rule)];
  char fields[kMaxFieldBytes];
  va_list args;
  va_start(args, format);
  std::vsnprintf(fields, sizeof fields, format, args);
  va_end(args);
  log::line("invariant_violated", "rule=%s %s", nameOf(rule), fields);
}

std::uint64_t violationCount(Rule rule) {
  return counts[static_cast<std::size_t>(rule)];
}

}  // namespace reedchute::invariants

// The log: one line per event on standard error, rate-limited by event name. Must be used from one
// thread only.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace reedchute::log {

// Makes standard error non-blocking if it is a pipe or socket. Lines that don't fit into a full
// pipe are then lost, so that a stalled reader of the log can't block the process.
void setNonBlocking();

// Sets the time used for timestamps and rate limits. Called once per scheduler round.
void setTime(WallTime now);

// Writes "<ms> <event> <fields>", where <ms> is Unix time in milliseconds. The number of lines per
// second and event is limited; the next line of the event that is written states in left_out= how
// many were suppressed. `event` must be a string literal, because the pointer is kept.
[[gnu::format(printf, 2, 3)]] void line(const char* event, const char* format, ...);

// The same for a line that must not be missing from the log: the limit doesn't apply to it.
[[gnu::format(printf, 2, 3)]] void unlimitedLine(const char* event, const char* format, ...);

// Converts a count for %llu in a format.
inline unsigned long long printable(std::uint64_t count) {
  return count;
}

// Writes a line with left_out= for each event that had lines suppressed since its last written
// line.
void flushSuppressed();

}  // namespace reedchute::log

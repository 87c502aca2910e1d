// The one way to the log: a line an event on standard error, rate-limited by the event's name. For
// one thread.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace reedchute::log {

// From now on lines that a full pipe can't take are lost, so that a reader of the log that stands
// still doesn't block the process.
void setNonBlocking();

// Sets the time by which lines are stamped and limited. Called once a round.
void setTime(WallTime now);

// Writes "<ms> <event> <fields>". Only so many lines a second are written of one event; the next
// line tells how many were suppressed. `event` must be a literal, as its text is kept by pointer.
[[gnu::format(printf, 2, 3)]] void line(const char* event, const char* format, ...);

// Writes a line for each event of which lines were suppressed since its last line.
void flushSuppressed();

}  // namespace reedchute::log

// The one way to the log: a line an event, rate-limited by the name of the event.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace reedchute::log {

// Lines that a full pipe can't take are lost from now on. Danger: whoever reads the log may stand
// still, and the front would stand still with it.
void neverBlock();

// The clock that lines are stamped and limited by; set once a round.
void clock(WallTime now);

// Writes "<ms> <event> <fields>" to standard error. Of one event only so many lines a second are
// written; what was left out is counted on the next one. `event` must be a literal: the limit goes
// by its text.
[[gnu::format(printf, 2, 3)]] void line(const char* event, const char* format, ...);

// A line for each event of which something was left out since its last line.
void flushCounts();

}  // namespace reedchute::log

// What operators set and order about the evacuation of zones.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"

namespace reedchute::zones {

struct EvacuationPolicy {
  int maxEvacuated = 1;              // zones that may be evacuated or recovering at once
  Duration lookback{2'000'000};      // of observations, and how old a report may be
  Duration confirmFor{300'000};      // that a verdict must hold before it is acted on
  Duration recoverAfter{2'000'000};  // that an evacuated zone must answer; doubles with each failed
                                     // recovery
  Duration maxRecoverAfter{120'000'000};
  Duration ramp{8'000'000};          // from a recovering zone's first share to the whole
  Duration stableAfter{60'000'000};  // in use, after which failed recoveries are forgotten
  int probers = 3;                   // proxies that probe an evacuated zone at a time
};

// An operator's command for one zone. A later one, and among equals the more careful one, has the
// higher value.
enum class Command { none, restore, evacuate, freeze };
// The name in the log.
const char* nameOf(Command command);

struct CommandRecord {
  Command command = Command::none;
  std::uint64_t generation = 0;  // rises with each command; the highest counts
  std::string by;
  Duration age;  // since it was given
};

// Whether `a` overrides `b`. The same on all proxies, in whatever order the commands arrive.
bool overrides(const CommandRecord& a, const CommandRecord& b);

}  // namespace reedchute::zones

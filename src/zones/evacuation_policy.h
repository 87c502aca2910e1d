// The operators' settings and commands for the evacuation of zones.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"

namespace reedchute::zones {

struct EvacuationPolicy {
  int maxEvacuated = 1;              // zones that may be evacuated or recovering at the same time
  Duration lookback{2'000'000};      // age limit of observations and reports
  Duration confirmFor{300'000};      // how long a verdict must hold before it is acted on
  Duration recoverAfter{2'000'000};  // how long an evacuated zone must answer before its recovery
                                     // begins; doubles with each failed recovery
  Duration maxRecoverAfter{120'000'000};
  Duration ramp{8'000'000};          // from a recovering zone's first share to its full share
  Duration stableAfter{60'000'000};  // active time after which failed recoveries are reset to 0
  int probers = 3;                   // proxies that probe an evacuated zone at the same time
};

// An operator's command for one zone. The values are in order of precedence: among commands of the
// same generation, the higher, more cautious one wins.
enum class Command { none, restore, evacuate, freeze };
// The name used in logs.
const char* nameOf(Command command);

struct CommandRecord {
  Command command = Command::none;
  std::uint64_t generation = 0;  // increases with each command; the highest one is in force
  std::string issuedBy;
  Duration age;  // since it was issued
};

// Whether `a` overrides `b`. All proxies agree on this, whatever the order in which commands
// arrive.
bool overrides(const CommandRecord& a, const CommandRecord& b);

}  // namespace reedchute::zones

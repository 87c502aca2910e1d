#include "zones/evacuation_policy.h"

namespace reedchute::zones {

const char* nameOf(Command command) {
  switch (command) {
    case Command::restore:
      return "return";
    case Command::evacuate:
      return "leave";
    case Command::freeze:
      return "hold";
    default:
      return "none";
  }
}

bool overrides(const CommandRecord& a, const CommandRecord& b) {
  if (a.generation != b.generation) return a.generation > b.generation;
  if (a.command != b.command) return a.command > b.command;
  return a.issuedBy > b.issuedBy;
}

}  // namespace reedchute::zones

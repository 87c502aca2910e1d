// What a member of a fleet is given when it starts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"
#include "membership/packet.h"

namespace reedchute::membership {

// All draws of one process come from one generator, so that a seed and the same events give the
// same packets.
using Random = std::ranlux24_base;

struct Parameters {
  Duration period{300'000};           // SWIM's protocol period; all other times are multiples of it
  int indirectProbes = 3;             // members that are asked to ping one that doesn't answer
  std::size_t maxMembers = 4096;      // further ones are dropped and counted
  std::size_t updatesPerPacket = 16;  // at most
  std::size_t membersPerPage = 16;    // at most, in one SyncPage
};

// The process itself, and where it finds others.
struct LocalMember {
  std::string fleet;
  std::string name;
  std::string zone;
  Address address;
  std::uint64_t incarnation = 0;
  std::vector<Address> seeds;  // contacted at the start, and now and then afterwards
  std::uint64_t randomSeed = 0;
};

}  // namespace reedchute::membership

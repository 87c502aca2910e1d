// The settings that a member of a fleet is started with.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"
#include "membership/packet.h"

namespace reedchute::membership {

// All random numbers of Membership come from one generator, so that the same seed and events
// produce the same packets.
using Random = std::ranlux24_base;

struct Parameters {
  Duration period{300'000};           // SWIM's protocol period; all other times are multiples of it
  int indirectProbes = 3;             // members requested to ping one that doesn't answer
  std::size_t maxMembers = 4096;      // further members are dropped and counted
  std::size_t updatesPerPacket = 16;  // at most
  std::size_t membersPerPage = 16;    // at most, in one SyncPage
};

// This process, and the addresses where it finds others.
struct LocalMember {
  std::string fleet;
  std::string name;
  std::string zone;
  Address address;
  std::uint64_t incarnation = 0;
  std::vector<Address> seeds;  // contacted at the start and periodically afterwards
  std::uint64_t randomSeed = 0;
};

}  // namespace reedchute::membership

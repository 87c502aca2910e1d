// The states that members publish to all others, by topic: a bounded sample of the newest states,
// forwarded with their ages. Performs no I/O and reads no clock. The amount stored and sent doesn't
// depend on the size of the fleet; in a larger fleet each member knows the states of a smaller,
// randomly chosen part of the others.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "membership/packet.h"
#include "membership/parameters.h"

namespace reedchute::membership {

class GossipStateTable {
 public:
  struct Limits {
    std::size_t originsPerTopic = 64;
    std::size_t othersPerPacket = 6;    // states of other members
    std::size_t maxPayloadBytes = 900;  // larger ones are dropped; a datagram holds 1,400
    Duration maxAge{2'000'000};         // older states are dropped
  };
  struct Entry {
    std::uint64_t incarnation = 0;
    std::uint32_t version = 0;
    TimePoint publishedAt = kNever;  // by this process's clock, computed from the received age
    std::string payload;
  };
  using ByOrigin = std::map<std::string, Entry>;

  GossipStateTable(std::string origin, std::uint64_t incarnation, Limits limits,
                   std::uint64_t randomSeed)
      : origin_(std::move(origin)),
        incarnation_(incarnation),
        limits_(limits),
        random_(static_cast<std::uint32_t>(randomSeed)) {}

  void setIncarnation(std::uint64_t incarnation) { incarnation_ = incarnation; }
  // Replaces this process's own state on a topic.
  void publish(int topic, std::string payload, TimePoint now);
  // Adds the states for one packet: all unexpired ones of this process, and a random few of others.
  void appendTo(std::vector<GossipState>& states, TimePoint now);
  // Stores a received state. `transit` is the minimum time that the packet was in transit. Returns
  // false if the state is malformed, expired, this process's own, or not newer than the stored one.
  bool merge(const GossipState& state, Duration transit, TimePoint now);
  // The states of others that are no older than Limits::maxAge.
  const ByOrigin& statesOf(int topic, TimePoint now);
  std::uint64_t dropped() const { return dropped_; }

 private:
  bool isWellFormed(const GossipState& state) const;
  void dropExpired(ByOrigin& states, TimePoint now) const;
  void evictIfFull(ByOrigin& states, TimePoint now);
  void appendOwn(std::vector<GossipState>& states, TimePoint now) const;

  std::string origin_;
  std::uint64_t incarnation_;
  Limits limits_;
  Random random_;
  std::map<int, Entry> own_;        // by topic
  std::map<int, ByOrigin> others_;  // by topic
  std::uint64_t dropped_ = 0;
};

}  // namespace reedchute::membership

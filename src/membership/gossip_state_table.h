// What members publish to all others, by topic: a bounded sample of the newest states, passed on
// with their ages. Without I/O and clock. What is held and sent stays the same however large the
// fleet is; in a larger one each member knows the states of fewer others, chosen at random.
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
    std::size_t maxPayloadBytes = 900;  // a larger one is dropped; a packet has 1,400
    Duration maxAge{2'000'000};         // older states are dropped
  };
  struct Entry {
    std::uint64_t incarnation = 0;
    std::uint32_t version = 0;
    TimePoint publishedAt = kNever;  // by this process's clock, from the age that it came with
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
  // This process's own state on a topic from now on.
  void publish(int topic, std::string payload, TimePoint now);
  // Adds what a packet carries: all of this process's own states, and some of others.
  void appendTo(std::vector<GossipState>& states, TimePoint now);
  // Takes what a packet brought. `transit`: the least time that the packet took. False where it is
  // nothing new.
  bool merge(const GossipState& state, Duration transit, TimePoint now);
  // The states of others that are no older than Limits::maxAge.
  const ByOrigin& statesOf(int topic, TimePoint now);
  std::uint64_t dropped() const { return dropped_; }

 private:
  bool isWellFormed(const GossipState& state) const;
  void dropExpired(ByOrigin& states, TimePoint now) const;
  void makeRoom(ByOrigin& states, TimePoint now);
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

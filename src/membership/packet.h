// What the members of a fleet say to each other, as plain values. No process relies on another's
// clock: ages travel as durations, never as points in time.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"

namespace reedchute::membership {

struct Address {
  std::uint32_t ip = 0;  // both in this machine's byte order
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};

// `left`: it announced its own shutdown. `dead`: others failed to reach it. The values are those on
// the wire.
enum class MemberState { alive = 0, suspect = 1, left = 2, dead = 3 };
const char* nameOf(MemberState state);

// What is claimed of one member. `incarnation` is a higher one after each start of the process.
// `refutations` is SWIM's own counter ("incarnation" in the paper): only the member itself raises
// it, each time that it refutes a suspicion, and it begins anew with each incarnation.
struct MemberUpdate {
  std::string name;
  std::string zone;
  Address address;
  std::uint64_t incarnation = 0;
  std::uint32_t refutations = 0;
  MemberState state = MemberState::alive;
};

// A value that its origin publishes under a topic, passed on by other members. For each origin and
// topic only the newest version counts.
struct GossipState {
  std::string origin;
  std::uint64_t incarnation = 0;  // of the origin
  std::uint32_t version = 0;
  int topic = 0;
  Duration age;  // since it was published; never less than the hops' own clocks showed
  std::string payload;
};

// "Are you there?" The answer is an Ack with the same nonce.
struct Ping {
  std::uint64_t nonce = 0;
};

// Answers a Ping, or passes such an answer on to who asked for it by a PingRequest.
struct Ack {
  std::uint64_t nonce = 0;
};

// "Ping the target for me": SWIM's indirect probe.
struct PingRequest {
  std::uint64_t nonce = 0;  // that the passed-on Ack has to carry
  std::string target;
  Address targetAddress;
};

// "Tell me of the members whose names come after `cursor`."
struct SyncRequest {
  std::string cursor;
};

// Answers a SyncRequest; the members are the packet's updates. An empty cursor: this was the last.
struct SyncPage {
  std::string cursor;
};

using Message = std::variant<Ping, Ack, PingRequest, SyncRequest, SyncPage>;

struct Packet {
  std::string fleet;
  std::string to;            // empty where the sender knows an address and no name
  MemberUpdate from;         // what the sender says of itself
  std::uint64_t number = 0;  // counts the packets of the sender's incarnation
  Message message;
  std::vector<MemberUpdate> updates;
  std::vector<GossipState> states;
};

struct OutgoingPacket {
  Address to;
  Packet packet;
};

}  // namespace reedchute::membership

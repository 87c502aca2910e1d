// The packets that the members of a fleet exchange, as plain values. No process relies on another's
// clock: ages are sent as durations, never as points in time.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"

namespace reedchute::membership {

struct Address {
  std::uint32_t ip = 0;  // IPv4; like the port in host byte order
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};

// `left`: the member announced its own shutdown. `dead`: others failed to reach it. The values are
// those on the wire.
enum class MemberState { alive = 0, suspect = 1, left = 2, dead = 3 };
const char* nameOf(MemberState state);

// A statement about one member. `incarnation` increases with each process start. `refutations` is
// SWIM's own counter ("incarnation" in the paper): only the member itself increments it, each time
// that it refutes a suspicion, and it restarts with each incarnation.
struct MemberUpdate {
  std::string name;
  std::string zone;
  Address address;
  std::uint64_t incarnation = 0;
  std::uint32_t refutations = 0;
  MemberState state = MemberState::alive;
};

// A value that its origin publishes under a topic and other members forward. Only the newest
// version for each origin and topic is valid.
struct GossipState {
  std::string origin;
  std::uint64_t incarnation = 0;  // of the origin
  std::uint32_t version = 0;
  int topic = 0;
  Duration age;  // since publication; at least the sum of the times measured at the hops
  std::string payload;
};

// Probes the receiver, which answers with an Ack of the same nonce.
struct Ping {
  std::uint64_t nonce = 0;
};

// Answers a Ping, or forwards such an answer to the sender of a PingRequest.
struct Ack {
  std::uint64_t nonce = 0;
};

// Requests the receiver to ping the target: SWIM's indirect probe.
struct PingRequest {
  std::uint64_t nonce = 0;  // of the Ack that is to be forwarded
  std::string target;
  Address targetAddress;
};

// Requests the members whose names follow `cursor`.
struct SyncRequest {
  std::string cursor;
};

// Answers a SyncRequest; the members are the packet's updates. The cursor is empty on the last
// page.
struct SyncPage {
  std::string cursor;
};

using Message = std::variant<Ping, Ack, PingRequest, SyncRequest, SyncPage>;

struct Packet {
  std::string fleet;
  std::string to;            // empty if the sender knows only an address
  MemberUpdate from;         // the sender's update on itself
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

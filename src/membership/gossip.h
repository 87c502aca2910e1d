// Membership and gossiped states on top of datagrams: the whole protocol except for the socket
// (transport.h). Performs no I/O and reads no clock; not thread-safe.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "membership/gossip_state_table.h"
#include "membership/membership.h"
#include "membership/packet_codec.h"

namespace reedchute::membership {

struct OutgoingDatagram {
  Address to;
  std::string bytes;
};

class Gossip {
 public:
  struct Counters {
    std::uint64_t packetsIn = 0;
    std::uint64_t packetsOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t unsendable = 0;             // packets too long for a datagram
    std::array<std::uint64_t, 5> rejected{};  // by PacketError
  };

  Gossip(const LocalMember& self, Parameters parameters, GossipStateTable::Limits limits, Keys keys,
         TimePoint now);

  void receive(std::string_view datagram, Address from, TimePoint now);
  void tick(TimePoint now) { membership_.tick(now); }
  void leave() { membership_.leave(); }
  // When tick() is due next.
  TimePoint dueAt() const { return membership_.dueAt(); }
  // Removes and returns the datagrams to send, with gossiped states added to them.
  std::vector<OutgoingDatagram> takeDatagrams(TimePoint now);

  Membership& membership() { return membership_; }
  const Membership& membership() const { return membership_; }
  GossipStateTable& states() { return states_; }
  const Keys& keys() const { return keys_; }
  const Counters& counters() const { return counters_; }

 private:
  bool isOutdated(const GossipState& state) const;

  Membership membership_;
  GossipStateTable states_;
  Keys keys_;
  Counters counters_;
};

}  // namespace reedchute::membership

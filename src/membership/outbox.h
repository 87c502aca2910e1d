// Makes the packets of one process: what all of them carry (the sender, its packet numbers, the
// queued updates) is added here. They wait until the caller takes them to its socket.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "membership/member_table.h"
#include "membership/packet.h"
#include "membership/update_queue.h"

namespace reedchute::membership {

class Outbox {
 public:
  // `self` and `members` must outlive it.
  Outbox(std::string fleet, const MemberUpdate& self, const MemberTable& members,
         std::size_t updatesPerPacket)
      : fleet_(std::move(fleet)),
        self_(self),
        members_(members),
        updatesPerPacket_(updatesPerPacket) {}

  // A packet to a member by name, or to whoever listens (""), with the updates whose turn it is.
  Packet compose(const std::string& to, Message message);
  void send(Address to, Packet packet);
  void send(const Member& to, Packet packet) { send(to.latest.address, std::move(packet)); }
  // Queues an update for the next packets.
  void announce(const MemberUpdate& update) { updates_.push(update); }
  // A new incarnation counts its packets from the start.
  void restartNumbering() { lastNumber_ = 0; }

  std::vector<OutgoingPacket> takePackets() { return std::exchange(outgoing_, {}); }

 private:
  std::string fleet_;
  const MemberUpdate& self_;
  const MemberTable& members_;
  std::size_t updatesPerPacket_;
  UpdateQueue updates_;
  std::uint64_t lastNumber_ = 0;
  std::vector<OutgoingPacket> outgoing_;
};

// Puts an update before all others that the packet carries.
void putFirst(Packet& packet, const MemberUpdate& update);

}  // namespace reedchute::membership

// Builds the packets of one process. Adds what all of them carry: the sender, its packet number and
// the queued updates. Packets are queued until the caller takes them to send.
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
  // `self` and `members` must outlive the outbox.
  Outbox(std::string fleet, const MemberUpdate& self, const MemberTable& members,
         std::size_t updatesPerPacket)
      : fleet_(std::move(fleet)),
        self_(self),
        members_(members),
        updatesPerPacket_(updatesPerPacket) {}

  // Builds a packet with the next queued updates. `to` is the receiver's name, or empty if only its
  // address is known.
  Packet compose(const std::string& to, Message message);
  void send(Address to, Packet packet);
  void send(const Member& to, Packet packet) { send(to.latest.address, std::move(packet)); }
  // Queues an update for the next packets.
  void announce(const MemberUpdate& update) { updates_.push(update); }
  // Restarts the packet numbers, for a new incarnation.
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

// Inserts an update before all others of the packet.
void prependUpdate(Packet& packet, const MemberUpdate& update);

}  // namespace reedchute::membership

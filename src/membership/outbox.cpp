#include "membership/outbox.h"

namespace reedchute::membership {

Packet Outbox::compose(const std::string& to, Message message) {
  Packet packet;
  packet.fleet = fleet_;
  packet.to = to;
  packet.from = self_;
  packet.message = std::move(message);
  packet.updates = updates_.take(updatesPerPacket_, transmitLimit(members_.liveCount()));
  return packet;
}

void Outbox::send(Address to, Packet packet) {
  packet.number = ++lastNumber_;
  outgoing_.push_back({to, std::move(packet)});
}

void prependUpdate(Packet& packet, const MemberUpdate& update) {
  packet.updates.insert(packet.updates.begin(), update);
}

}  // namespace reedchute::membership

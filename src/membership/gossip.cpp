#include "membership/gossip.h"

#include <utility>
#include <variant>

namespace reedchute::membership {

Gossip::Gossip(const LocalMember& self, Parameters parameters, GossipStateTable::Limits limits,
               Keys keys, TimePoint now)
    : membership_(self, parameters, now),
      states_(self.name, self.incarnation, limits, self.randomSeed),
      keys_(std::move(keys)) {}

void Gossip::receive(std::string_view datagram, Address from, TimePoint now) {
  ++counters_.packetsIn;
  counters_.bytesIn += datagram.size();
  DecodedPacket decoded = decodeDatagram(datagram, keys_);
  if (!decoded.packet) {
    ++counters_.rejected[static_cast<std::size_t>(decoded.error)];
    return;
  }
  bool isAccepted = membership_.receive(*decoded.packet, from, now);
  states_.setIncarnation(membership_.self().incarnation);
  if (!isAccepted) return;
  for (const GossipState& state : decoded.packet->states)
    if (!isOutdated(state)) states_.merge(state, Duration{}, now);
}

// Whether a state is from an earlier incarnation of its origin, which a process restart has made
// obsolete.
bool Gossip::isOutdated(const GossipState& state) const {
  const Member* origin = membership_.find(state.origin);
  return origin && state.incarnation < origin->latest.incarnation;
}

std::vector<OutgoingDatagram> Gossip::takeDatagrams(TimePoint now) {
  std::vector<OutgoingDatagram> datagrams;
  for (OutgoingPacket& outgoing : membership_.takePackets()) {
    // A page is already filled with members.
    bool isPage = std::holds_alternative<SyncPage>(outgoing.packet.message);
    if (!isPage) states_.appendTo(outgoing.packet.states, now);
    std::optional<std::string> bytes = encodeDatagram(std::move(outgoing.packet), keys_);
    if (!bytes) {
      ++counters_.unsendable;
      continue;
    }
    ++counters_.packetsOut;
    counters_.bytesOut += bytes->size();
    datagrams.push_back({outgoing.to, std::move(*bytes)});
  }
  return datagrams;
}

}  // namespace reedchute::membership

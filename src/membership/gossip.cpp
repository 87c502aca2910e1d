#include "membership/gossip.h"

namespace reedchute::membership {

Gossip::Gossip(Self self, Parameters parameters, Notes::Bounds bounds, Keys keys, TimePoint now)
    : members_(self, parameters, now),
      notes_(self.name, self.generation, bounds, self.seed),
      keys_(std::move(keys)) {}

void Gossip::datagram(std::string_view bytes, Address from, TimePoint now) {
  ++counters_.packetsIn, counters_.bytesIn += bytes.size();
  Bad why = Bad::none;
  auto packet = fromDatagram(bytes, keys_, why);
  if (!packet) {
    ++counters_.bad[static_cast<std::size_t>(why)];
    return;
  }
  std::uint64_t generation = members_.self().generation;
  bool taken = members_.received(*packet, from, now);
  if (members_.self().generation != generation) notes_.renamed(members_.self().generation);
  if (!taken) return;
  for (const Note& n : packet->notes) {
    // Danger: a note of a generation that is over would go on counting for what its successor knows
    // better.
    const Member* origin = members_.find(n.origin);
    if (origin && n.generation < origin->is.generation) continue;
    notes_.hear(n, Duration{}, now);
  }
}

std::vector<std::pair<Address, std::string>> Gossip::takeDatagrams(TimePoint now) {
  std::vector<std::pair<Address, std::string>> all;
  for (Outgoing& o : members_.takeOutgoing()) {
    // A page is full of members already.
    if (o.packet.kind != Packet::Kind::pageOf) notes_.fill(o.packet.notes, now);
    auto bytes = toDatagram(std::move(o.packet), keys_);
    if (!bytes) {
      ++counters_.unsendable;
      continue;
    }
    ++counters_.packetsOut, counters_.bytesOut += bytes->size();
    all.emplace_back(o.to, std::move(*bytes));
  }
  return all;
}

}  // namespace reedchute::membership

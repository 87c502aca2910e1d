#include "membership/circle.h"

namespace reedchute::membership {

Circle::Circle(Self self, Rhythm rhythm, Notes::Bounds bounds, Keys keys, TimePoint now)
    : members_(self, rhythm, now), notes_(self.name, self.life, bounds, self.seed), keys_(std::move(keys)) {}

void Circle::datagram(std::string_view bytes, Address from, TimePoint now) {
  ++tally_.packetsIn, tally_.bytesIn += bytes.size();
  Bad why = Bad::none;
  auto packet = fromDatagram(bytes, keys_, why);
  if (!packet) {
    ++tally_.bad[static_cast<std::size_t>(why)];
    return;
  }
  std::uint64_t life = members_.self().life;
  bool taken = members_.received(*packet, from, now);
  if (members_.self().life != life) notes_.renamed(members_.self().life);
  if (!taken) return;
  for (const Note& n : packet->notes) {
    // Danger: a note of a life that is over would go on counting for what its successor knows better.
    const Member* origin = members_.find(n.origin);
    if (origin && n.life < origin->is.life) continue;
    notes_.hear(n, Span{}, now);
  }
}

std::vector<std::pair<Address, std::string>> Circle::takeDatagrams(TimePoint now) {
  std::vector<std::pair<Address, std::string>> all;
  for (Outgoing& o : members_.takeOutgoing()) {
    // A page is full of members already.
    if (o.packet.kind != Packet::Kind::pageOf) notes_.fill(o.packet.notes, now);
    auto bytes = toDatagram(std::move(o.packet), keys_);
    if (!bytes) {
      ++tally_.unsendable;
      continue;
    }
    ++tally_.packetsOut, tally_.bytesOut += bytes->size();
    all.emplace_back(o.to, std::move(*bytes));
  }
  return all;
}

}  // namespace reedchute::membership

#include "zones/quorum.h"

namespace reedchute::zones {
namespace {

constexpr double kRounds = 20,
                 kSays = 8;    // in the span that fronts look back: decisions, and words to others
constexpr double kFade = 0.3;  // weight of the newest in the rate

}  // namespace

Quorum::Quorum(Leaving rules, std::string name, std::string ownZone, membership::Gossip& gossip)
    : rules_(rules),
      ownZone_(ownZone),
      gossip_(gossip),
      watch_(rules.back),
      zones_(rules, std::move(name), ownZone) {}

double Quorum::heardRate() const {
  double rate = own_.rate;
  for (const auto& [name, known] : told_) rate += known.told.sight.rate;
  return rate;
}

void Quorum::round(TimePoint now) {
  if (now < dueAt_) return;
  dueAt_ = now + rules_.back * (1 / kRounds);
  const membership::Members& members = gossip_.members();

  double rate = own_.rate;
  if (ratedAt_ == kNever) ratedAt_ = now;
  if (now - ratedAt_ >= rules_.back * (1 / kSays)) {
    double newest = static_cast<double>(taken_ - counted_) / (now - ratedAt_).seconds();
    rate += kFade * (newest - rate);
    counted_ = taken_, ratedAt_ = now;
  }
  own_ = Sight{};
  own_.zones = watch_.counts(now);
  own_.rate = rate, own_.room = room_, own_.doubtful = members.doubtsItself(now);
  stores_.clear();
  for (const auto& [zone, seen] : own_.zones) stores_[zone] = watch_.storesIn(zone);
  zones_.tellInto(own_, now);

  const auto& notes = gossip_.notes().on(kSightTopic, now);
  std::erase_if(told_, [&](const auto& e) { return !notes.contains(e.first); });
  for (const auto& [origin, held] : notes) {
    Known& known = told_[origin];
    if (known.generation != held.generation || known.number != held.number) {
      known.generation = held.generation, known.number = held.number;
      // Danger: what can't be read must not leave an older word standing in its place.
      if (!fromBytes(held.bytes, known.told.sight)) known.told.sight = Sight{}, ++unreadable_;
    }
    known.told.age = now - held.written;
  }

  Views v;
  v.live = members.live();
  v.liveHere = 1;
  for (const auto& [name, m] : members.all()) v.liveHere += m.counts() && m.is.zone == ownZone_;
  v.alone = told_.empty();
  v.doubtful = own_.doubtful;
  v.own = &own_;
  for (const auto& [name, known] : told_) v.others.push_back(&known.told);
  v.stores = stores_;
  zones_.decide(v, now);

  if (now - saidAt_ >= rules_.back * (1 / kSays)) {
    saidAt_ = now;
    zones_.tellInto(own_, now);
    gossip_.notes().say(kSightTopic, toBytes(own_), now);
  }
}

}  // namespace reedchute::zones

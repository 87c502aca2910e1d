#include "zones/zones.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace reedchute::zones {
namespace {

constexpr int kLeastSeen = 3;       // answers and failures from which a front can tell of a zone
constexpr double kFullWeight = 12;  // of them, from which its word has its whole weight
constexpr double kGone = 0.6;       // of the stores that failed when last tried
constexpr int kVain =
    3;  // tries in vain since a zone's last answer: it is gone; fewer: who can tell
constexpr double kGrey = 0.4;  // of what was tried that failed or came late
constexpr double kElsewhere =
    0.5;  // of a zone's badness in the other zones: then it is no zone's fault
constexpr double kMajority = 0.6;  // of the weight of those who can tell
constexpr int kQuorum = 3;         // fronts that must agree, or all where fewer are live
constexpr double kRoom = 0.9;  // of what the other zones have left that a left zone may bring them
constexpr double kLeastShare = 0.05;  // a smaller one is none
constexpr double kFirstShare = 1.0 / 16;
constexpr double kFollow = 0.6;  // of the fronts of one's own zone that have left: then one follows
constexpr double kRelapse =
    0.34;  // of the weight that speaks against a returning zone: it is left again
constexpr Duration kTurn{500'000};  // the same front probes

double badOf(const ZoneSight& z) {
  int tried = z.answers + z.failed;
  return tried == 0 ? 0 : static_cast<double>(z.late + z.failed) / tried;
}

std::uint64_t hashOf(const std::string& a, const std::string& b, std::int64_t n) {
  std::string whole = a + '\0' + b + '\0' + std::to_string(n);
  return XXH3_64bits(whole.data(), whole.size());
}

}  // namespace

const char* nameOf(Cause c) {
  switch (c) {
    case Cause::gone:
      return "gone";
    case Cause::cutOff:
      return "cut_off";
    case Cause::grey:
      return "grey";
    case Cause::commanded:
      return "commanded";
    case Cause::followed:
      return "followed";
    case Cause::recovered:
      return "recovered";
    case Cause::relapsed:
      return "relapsed";
    default:
      return "none";
  }
}

const char* nameOf(Order o) {
  switch (o) {
    case Order::back:
      return "return";
    case Order::leave:
      return "leave";
    case Order::hold:
      return "hold";
    default:
      return "none";
  }
}

bool before(const Command& a, const Command& b) {
  if (a.generation != b.generation) return a.generation > b.generation;
  if (a.order != b.order) return a.order > b.order;
  return a.by > b.by;
}

Zones::Zones(Leaving rules, std::string name, std::string ownZone)
    : rules_(rules), name_(std::move(name)), ownZone_(std::move(ownZone)) {}

const ZoneState* Zones::find(const std::string& zone) const {
  auto it = zones_.find(zone);
  return it == zones_.end() ? nullptr : &it->second;
}

// ---- what one front's counts say ----

Zones::Opinion Zones::opinionOf(const Sight& s, const std::string& zone) {
  auto it = s.zones.find(zone);
  if (it == s.zones.end()) return Opinion::blind;
  const ZoneSight& z = it->second;
  int tried = z.answers + z.failed;
  if (tried < kLeastSeen) return Opinion::blind;
  double bad = badOf(z);
  // Danger: an overload looks like an ill zone to whoever looks at that zone alone, and a front
  // that is cut off or starved finds all zones ill. Where the others are as bad, it is no zone's
  // fault.
  int others = 0;
  double elsewhere = 0;
  for (const auto& [name, other] : s.zones)
    if (name != zone && other.answers + other.failed >= kLeastSeen)
      elsewhere += badOf(other), ++others;
  if (others > 0 && elsewhere / others > bad * kElsewhere) return Opinion::blind;
  // One group's stores, wherever they stand, are that group's matter.
  bool oneGroup = z.groups > 1 && z.groupsIll <= 1;
  // Danger: answers from before a zone was lost would speak for it for as long as fronts look back.
  int stores = z.well + z.ill;
  if (z.vain >= kVain && z.ill >= kVain && z.ill >= kGone * stores)
    return oneGroup ? Opinion::blind : Opinion::gone;
  if (z.vain > 0) return Opinion::blind;
  if (bad >= kGrey) return oneGroup && z.late == 0 ? Opinion::blind : Opinion::grey;
  return Opinion::fine;
}

Zones::Votes Zones::votesOn(const std::string& zone, const Views& v) const {
  Votes votes;
  // Where too few stand here, all are asked, unless this front itself finds the zone well.
  bool few = static_cast<int>(v.liveHere) < kQuorum;
  if (few && v.own && !v.doubtful && opinionOf(*v.own, zone) == Opinion::fine) few = false;
  auto count = [&](const Sight& s, bool mine) {
    // How the way from one zone to another is, those tell who stand at its beginning.
    if (s.zone != ownZone_ && !few) return;
    if (auto it = s.zones.find(zone); it != s.zones.end() && !mine) {
      (it->second.stage == Stage::left        ? votes.left
       : it->second.stage == Stage::returning ? votes.returning
                                              : votes.used) += 1;
      votes.tries.push_back(it->second.tries);
    }
    if (s.doubtful) return;
    Opinion o = opinionOf(s, zone);
    if (o == Opinion::blind) return;
    const ZoneSight& z = s.zones.at(zone);
    double weight = std::min(1.0, (z.answers + z.failed) / kFullWeight);
    if (o == Opinion::gone) votes.gone += weight, ++votes.goneFronts;
    if (o == Opinion::grey) votes.grey += weight, ++votes.greyFronts;
    if (o == Opinion::fine) votes.fine += weight, ++votes.fineFronts;
  };
  if (v.own && !v.doubtful) count(*v.own, true);
  for (const Told* t : v.others)
    if (t->age <= rules_.back) count(t->sight, false);
  return votes;
}

int Zones::quorum(const Views& v) const {
  return static_cast<int>(std::min<std::size_t>(kQuorum, std::max<std::size_t>(2, v.live)));
}

// ---- what the others bear ----

// The part of a zone's traffic that may be moved away: what room the other zones have, by their
// stores.
double Zones::bearable(const std::string& zone, const Views& v) const {
  double room = 0;
  int told = 0;
  auto add = [&](const Sight& s) { room += s.room, ++told; };
  if (v.own) add(*v.own);
  for (const Told* t : v.others)
    if (t->age <= rules_.back) add(t->sight);
  room = told == 0 ? 0 : room / told;
  double here = 0, there = 0;
  for (const auto& [name, stores] : v.stores) {
    const ZoneState* z = find(name);
    double share = z ? z->share : 1;
    if (name == zone)
      here = stores;
    else
      there += stores * share;
  }
  if (here <= 0) return 1;
  double used = std::max(0.05, 1 - room);
  return std::clamp(there * room * kRoom / (here * used), 0.0, 1.0);
}

bool Zones::mayLeave(const std::string& zone) const {
  int away = 0, staying = 0;
  for (const auto& [name, z] : zones_) {
    if (name == zone) continue;
    bool out = z.stage == Stage::left || z.stage == Stage::returning;
    (out ? away : staying) += 1;
  }
  return staying > 0 && away < rules_.atOnce;
}

// ---- stages ----

void Zones::enter(const std::string& zone, Stage stage, Cause cause, double share, TimePoint now) {
  ZoneState& z = zones_[zone];
  Stage was = z.stage;
  bool told = was != stage || std::abs(z.share - share) >= 0.25;
  z.share = share;
  if (was != stage) z.stage = stage, z.since = now, z.cause = cause;
  if (told) changes_.push_back({zone, z, was});
}

Duration Zones::hold(int tries) const {
  return std::min(rules_.longest, rules_.stood * std::pow(2.0, std::min(tries, 20)));
}

// Few fronts look at a time, another few the next time; no one has to tell them.
bool Zones::turn(const std::string& zone, std::size_t live, TimePoint now) const {
  std::uint64_t h = hashOf(name_, zone, now.us / kTurn.us);
  return static_cast<double>(h >> 11) / 9007199254740992.0 <
         static_cast<double>(rules_.probers) / static_cast<double>(live);
}

void Zones::decide(const Views& v, TimePoint now) {
  std::erase_if(zones_, [&](const auto& e) { return !v.stores.contains(e.first); });
  std::erase_if(held_, [&](const auto& e) { return !v.stores.contains(e.first); });
  for (const auto& [zone, stores] : v.stores) {
    auto [it, isNew] = zones_.try_emplace(zone);
    if (isNew) it->second.since = held_[zone].wholeAt = now;
  }
  // The worst first, so that where only some may be left all fronts leave the same.
  std::vector<std::pair<std::string, Votes>> order;
  for (const auto& [zone, stores] : v.stores) order.emplace_back(zone, votesOn(zone, v));
  auto badness = [](const Votes& votes) { return votes.gone * 2 + votes.grey; };
  std::stable_sort(order.begin(), order.end(), [&](const auto& a, const auto& b) {
    return badness(a.second) > badness(b.second);
  });
  for (auto& [zone, votes] : order) decideOne(zone, std::move(votes), v, now);
}

void Zones::decideOne(const std::string& zone, Votes votes, const Views& v, TimePoint now) {
  ZoneState& z = zones_[zone];
  Held& h = held_[zone];
  z.gone = votes.goneFronts, z.grey = votes.greyFronts, z.fine = votes.fineFronts;
  int need = quorum(v);
  double weight = votes.gone + votes.grey + votes.fine;
  bool gone = !v.alone && votes.goneFronts >= need && votes.gone >= kMajority * weight;
  bool bad = !v.alone && votes.goneFronts + votes.greyFronts >= need &&
             votes.gone + votes.grey >= kMajority * weight;
  int stages = votes.left + votes.returning + votes.used;
  bool followed = !v.alone && votes.left >= need && votes.left >= kFollow * stages;
  Order order = z.command.order;

  if (order == Order::hold) {
    z.probes = z.stage != Stage::left || turn(zone, v.liveHere, now);
    return;
  }
  switch (z.stage) {
    case Stage::whole:
    case Stage::doubted: {
      z.probes = true;
      if (order == Order::leave) {
        if (mayLeave(zone)) enter(zone, Stage::left, Cause::commanded, 0, now);
        return;
      }
      if (!bad) h.suspectedAt = kNever;
      if (bad && h.suspectedAt == kNever) h.suspectedAt = now;
      bool confirmed = bad && now - h.suspectedAt >= rules_.confirm;
      // A front that has just come, or sees too little itself, goes with those it stands among.
      if ((confirmed || followed) && !v.doubtful && order != Order::back && mayLeave(zone)) {
        if (!votes.tries.empty()) {
          // The median of several, never the best.
          std::nth_element(
              votes.tries.begin(),
              votes.tries.begin() + static_cast<std::ptrdiff_t>(votes.tries.size() / 2),
              votes.tries.end());
          z.tries = std::max(z.tries, votes.tries[votes.tries.size() / 2]);
        }
        bool whole = gone || (followed && !bad);
        double share = whole ? 0 : 1 - bearable(zone, v);
        if (share > 1 - kLeastShare) {
          // The others can't take any of it: it is used on as it is.
          enter(zone, Stage::doubted, Cause::grey, 1, now);
          return;
        }
        h.answersAt = kNever;
        bool elsewhereFine = false;
        for (const Told* t : v.others)
          elsewhereFine |= t->age <= rules_.back && t->sight.zone != ownZone_ &&
                           !t->sight.doubtful && opinionOf(t->sight, zone) == Opinion::fine;
        Cause cause = !confirmed      ? Cause::followed
                      : !gone         ? Cause::grey
                      : elsewhereFine ? Cause::cutOff
                                      : Cause::gone;
        enter(zone, Stage::left, cause, share < kLeastShare ? 0 : share, now);
        return;
      }
      if (z.stage == Stage::whole &&
          (bad || votes.goneFronts + votes.greyFronts > votes.fineFronts))
        enter(zone, Stage::doubted,
              votes.goneFronts >= votes.greyFronts ? Cause::gone : Cause::grey, 1, now);
      else if (z.stage == Stage::doubted && !bad &&
               votes.goneFronts + votes.greyFronts <= votes.fineFronts)
        enter(zone, Stage::whole, Cause::recovered, 1, now), h.wholeAt = now;
      if (z.tries > 0 && z.stage == Stage::whole && now - h.wholeAt >= rules_.steady) z.tries = 0;
      return;
    }
    case Stage::left: {
      z.probes = turn(zone, v.liveHere, now);
      if (order == Order::leave) return;
      // What those see who look, or send the share that stays; a front alone goes by its own eyes.
      bool answers = votes.fineFronts >= 1 && votes.fine >= kMajority * weight;
      if (v.alone)
        answers = votes.all() == 0 ? now - z.since >= hold(z.tries) : votes.fineFronts > 0;
      if (!answers && weight > 0) h.answersAt = kNever;
      if (answers && h.answersAt == kNever) h.answersAt = now;
      bool stood = h.answersAt > kNever && now - h.answersAt >= hold(z.tries);
      bool others = votes.returning >= need && votes.returning >= kFollow * stages;
      if (order == Order::back || stood || (others && !bad)) {
        z.probes = true;
        h.suspectedAt = kNever;
        enter(zone, Stage::returning, order == Order::back ? Cause::commanded : Cause::recovered,
              std::max(z.share, kFirstShare), now);
      }
      return;
    }
    case Stage::returning: {
      z.probes = true;
      if (order == Order::leave) {
        enter(zone, Stage::left, Cause::commanded, 0, now);
        return;
      }
      bool against = votes.goneFronts + votes.greyFronts >= std::min(2, need) &&
                     votes.gone + votes.grey >= kRelapse * weight;
      if (v.alone) against = votes.goneFronts > 0;
      if (against && !v.doubtful) {
        ++z.tries, h.answersAt = kNever;
        enter(zone, Stage::left, Cause::relapsed, 0, now);
        return;
      }
      double part = (now - z.since) / rules_.ramp;
      double share = kFirstShare * std::pow(1 / kFirstShare, std::clamp(part, 0.0, 1.0));
      if (part >= 1) {
        h.wholeAt = now;
        enter(zone, Stage::whole, Cause::recovered, 1, now);
      } else if (share > z.share) {
        enter(zone, Stage::returning, z.cause, share, now);
      }
      return;
    }
  }
}

bool Zones::command(const std::string& zone, Command c, std::string& why) {
  auto it = zones_.find(zone);
  if (it == zones_.end()) return why = "no store of the list stands in this zone", false;
  ZoneState& z = it->second;
  if (!before(c, z.command))
    return why = "a later command stands: generation " + std::to_string(z.command.generation),
           false;
  if (c.order == Order::leave && z.stage != Stage::left && !mayLeave(zone))
    return why = "the zones that would remain are too few", false;
  z.command = std::move(c);
  return true;
}

void Zones::tellInto(Sight& own, TimePoint now) const {
  own.zone = ownZone_;
  for (const auto& [zone, z] : zones_) {
    ZoneSight& s = own.zones[zone];
    s.stage = z.stage, s.share = z.share, s.tries = z.tries, s.inStage = now - z.since;
  }
}

}  // namespace reedchute::zones

#include "zones/sight.h"

#include <algorithm>
#include <set>

#include "zones/zones.pb.h"

namespace reedchute::zones {
namespace {

constexpr int kMostCount = 1 << 20;
constexpr int kMostZones = 16;
constexpr std::size_t kMostName = 64;
constexpr double kUnit = 255;

std::uint32_t count(int n) {
  return static_cast<std::uint32_t>(std::clamp(n, 0, kMostCount));
}
std::uint32_t part(double p) {
  return static_cast<std::uint32_t>(std::clamp(p, 0.0, 1.0) * kUnit + 0.5);
}

}  // namespace

const char* nameOf(Stage s) {
  switch (s) {
    case Stage::whole:
      return "whole";
    case Stage::doubted:
      return "doubted";
    case Stage::left:
      return "left";
    default:
      return "returning";
  }
}

std::string toBytes(const Sight& s) {
  wire::Sight w;
  w.set_zone(s.zone), w.set_doubtful(s.doubtful), w.set_room(part(s.room));
  w.set_rate_tenths(static_cast<std::uint32_t>(std::clamp(s.rate, 0.0, 1e8) * 10 + 0.5));
  for (const auto& [name, z] : s.zones) {
    wire::ZoneSight& to = *w.add_zones();
    to.set_name(name);
    to.set_answers(count(z.answers)), to.set_late(count(z.late)), to.set_failed(count(z.failed));
    to.set_vain(count(z.vain));
    to.set_well(count(z.well)), to.set_ill(count(z.ill));
    to.set_groups_ill(count(z.groupsIll)), to.set_groups(count(z.groups));
    to.set_stage(static_cast<std::uint32_t>(z.stage)), to.set_share(part(z.share)),
        to.set_tries(count(z.tries));
    to.set_in_stage_ms(
        static_cast<std::uint32_t>(std::clamp<std::int64_t>(z.inStage.us / 1000, 0, INT32_MAX)));
  }
  return w.SerializeAsString();
}

bool fromBytes(const std::string& bytes, Sight& into) {
  wire::Sight w;
  if (!w.ParseFromString(bytes) || w.zones_size() > kMostZones || w.zone().size() > kMostName)
    return false;
  Sight s;
  s.zone = w.zone(), s.doubtful = w.doubtful();
  s.rate = w.rate_tenths() / 10.0, s.room = std::min<std::uint32_t>(w.room(), 255) / kUnit;
  for (const wire::ZoneSight& from : w.zones()) {
    if (from.name().empty() || from.name().size() > kMostName || from.stage() > 3 ||
        from.share() > 255)
      return false;
    for (std::uint32_t n : {from.answers(), from.late(), from.failed(), from.well(), from.ill(),
                            from.groups_ill(), from.groups(), from.tries(), from.vain()})
      if (n > kMostCount) return false;
    if (from.late() > from.answers() || from.groups_ill() > from.groups()) return false;
    ZoneSight z;
    z.answers = static_cast<int>(from.answers()), z.late = static_cast<int>(from.late());
    z.failed = static_cast<int>(from.failed()), z.vain = static_cast<int>(from.vain());
    z.well = static_cast<int>(from.well()), z.ill = static_cast<int>(from.ill());
    z.groupsIll = static_cast<int>(from.groups_ill()), z.groups = static_cast<int>(from.groups());
    z.stage = static_cast<Stage>(from.stage()), z.share = from.share() / kUnit;
    z.tries = static_cast<int>(from.tries()),
    z.inStage = Duration{std::int64_t{from.in_stage_ms()} * 1000};
    if (!s.zones.emplace(from.name(), z).second) return false;
  }
  into = std::move(s);
  return true;
}

void Watch::store(int store, const std::string& zone, int group) {
  std::size_t s = static_cast<std::size_t>(store);
  if (stores_.size() <= s) stores_.resize(s + 1);
  if (zone.empty() || stores_[s].zone != zone) stores_[s] = Store{};
  stores_[s].zone = zone, stores_[s].group = group;
}

void Watch::saw(int store, Seen seen, TimePoint now) {
  std::size_t s = static_cast<std::size_t>(store);
  if (s >= stores_.size() || stores_[s].zone.empty()) return;
  Store& at = stores_[s];
  std::int64_t number = now.us * kParts / back_.us;
  Part& p = at.parts[number % kParts];
  if (p.number != number) p = Part{.number = number};
  p.answers += seen != Seen::failed, p.late += seen == Seen::late, p.failed += seen == Seen::failed;
  at.ill = seen == Seen::failed, at.seen = now;
  int& vain = vain_[at.zone];
  vain = at.ill ? std::min(vain + 1, kMostCount) : 0;
}

std::map<std::string, ZoneSight> Watch::counts(TimePoint now) {
  std::map<std::string, ZoneSight> all;
  std::map<std::string, std::pair<std::set<int>, std::set<int>>> groups;  // ill, seen
  std::int64_t number = now.us * kParts / back_.us;
  for (const Store& s : stores_) {
    if (s.zone.empty()) continue;
    ZoneSight& z = all[s.zone];
    for (const Part& p : s.parts)
      if (p.number > number - kParts)
        z.answers += p.answers, z.late += p.late, z.failed += p.failed;
    if (now - s.seen > back_) continue;
    (s.ill ? z.ill : z.well) += 1;
    auto& [ill, seen] = groups[s.zone];
    seen.insert(s.group);
    if (s.ill) ill.insert(s.group);
  }
  for (auto& [zone, z] : all)
    if (z.failed > 0) z.vain = vain_[zone];
  for (auto& [zone, sets] : groups)
    all[zone].groupsIll = static_cast<int>(sets.first.size()),
    all[zone].groups = static_cast<int>(sets.second.size());
  return all;
}

int Watch::storesIn(const std::string& zone) const {
  return static_cast<int>(std::count_if(stores_.begin(), stores_.end(),
                                        [&](const Store& s) { return s.zone == zone; }));
}

}  // namespace reedchute::zones

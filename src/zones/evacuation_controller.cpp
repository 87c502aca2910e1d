#include "zones/evacuation_controller.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace reedchute::zones {
namespace {

constexpr double kMajorityWeight = 0.6;    // minimum fraction of the votes' weight
constexpr double kFollowMajority = 0.6;    // minimum fraction of the proxies of this zone
constexpr double kRelapseWeight = 0.34;    // fraction of the votes' weight that ends a recovery
constexpr int kRelapseProxies = 2;         // bad votes that end a recovery, or a smaller quorum
constexpr double kUsableHeadroom = 0.9;    // fraction of the other zones' headroom
constexpr double kMinUsedFraction = 0.05;  // of the proxies' capacity; avoids a division by zero
constexpr double kMinShare = 0.05;         // a smaller share is treated as zero
constexpr double kInitialRecoveryShare = 1.0 / 16;  // when a recovery begins
constexpr double kReportedShareStep = 0.25;         // smallest change of share that is reported
constexpr int kMaxDoublings = 20;                   // of EvacuationPolicy::recoverAfter
constexpr Duration kProbeTurn{500'000};             // period during which the same proxies probe

std::uint64_t hashOf(const std::string& proxy, const std::string& zone, std::int64_t turn) {
  std::string bytes = proxy + '\0' + zone + '\0' + std::to_string(turn);
  return XXH3_64bits(bytes.data(), bytes.size());
}

// In [0, 1).
double fractionOf(std::uint64_t hash) {
  return static_cast<double>(hash >> 11) / 9007199254740992.0;  // 2^53
}

// The upper median for an even number of values.
int medianOf(std::vector<int> values) {
  auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

const char* nameOf(Cause cause) {
  switch (cause) {
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

EvacuationController::EvacuationController(EvacuationPolicy policy, std::string proxyName,
                                           std::string ownZone)
    : policy_(policy), proxyName_(std::move(proxyName)), ownZone_(std::move(ownZone)) {}

const ZoneState* EvacuationController::find(const std::string& zone) const {
  auto it = zones_.find(zone);
  return it == zones_.end() ? nullptr : &it->second;
}

// ---- verdicts ----

bool EvacuationController::ZoneContext::isGone() const {
  return !input.isAlone && votes.gone.proxies >= required() &&
         votes.gone.weight >= kMajorityWeight * votes.weight();
}

bool EvacuationController::ZoneContext::isBad() const {
  return !input.isAlone && votes.badProxies() >= required() &&
         votes.badWeight() >= kMajorityWeight * votes.weight();
}

bool EvacuationController::ZoneContext::isEvacuatedByPeers() const {
  return !input.isAlone && votes.evacuated >= required() &&
         votes.evacuated >= kFollowMajority * votes.statuses();
}

bool EvacuationController::ZoneContext::isRecoveringByPeers() const {
  return votes.recovering >= required() && votes.recovering >= kFollowMajority * votes.statuses();
}

// ---- one round ----

void EvacuationController::decide(const RoundInput& input, TimePoint now) {
  syncZones(input.storesByZone, now);
  struct Candidate {
    std::string zone;
    ZoneVotes votes;
    double badness() const { return votes.gone.weight * 2 + votes.grey.weight; }
  };
  std::vector<Candidate> candidates;
  for (const auto& [zone, stores] : input.storesByZone)
    candidates.push_back({zone, collectVotes(zone, ownZone_, input, policy_.lookback)});
  // The worst zone is decided first, so that all proxies choose the same zone when not all bad ones
  // may be evacuated.
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.badness() > b.badness(); });
  for (const Candidate& candidate : candidates)
    decideZone(candidate.zone, candidate.votes, input, now);
}

// Adds state for new zones of the endpoint list and removes that of zones no longer in it.
void EvacuationController::syncZones(const std::map<std::string, int>& storesByZone,
                                     TimePoint now) {
  auto isUnlisted = [&](const auto& item) { return !storesByZone.contains(item.first); };
  std::erase_if(zones_, isUnlisted);
  std::erase_if(timers_, isUnlisted);
  for (const auto& [zone, stores] : storesByZone) {
    auto [it, isNew] = zones_.try_emplace(zone);
    if (!isNew) continue;
    it->second.since = now;
    timers_[zone].activeSince = now;
  }
}

void EvacuationController::decideZone(const std::string& zone, const ZoneVotes& votes,
                                      const RoundInput& input, TimePoint now) {
  ZoneState& state = zones_[zone];
  state.gone = votes.gone.proxies;
  state.grey = votes.grey.proxies;
  state.healthy = votes.healthy.proxies;
  if (state.command.command == Command::freeze) {
    state.mayProbe = state.status != ZoneStatus::evacuated ||
                     isTurnToProbe(zone, input.liveProxiesInZone, now);
    return;
  }
  ZoneContext current{zone, state, timers_[zone], votes, input, now};
  switch (state.status) {
    case ZoneStatus::active:
    case ZoneStatus::suspect:
      return decideInUse(current);
    case ZoneStatus::evacuated:
      return decideEvacuated(current);
    case ZoneStatus::recovering:
      return decideRecovering(current);
  }
}

// ---- active and suspect ----

void EvacuationController::decideInUse(ZoneContext& zone) {
  ZoneState& state = zone.state;
  Command command = state.command.command;
  state.mayProbe = true;
  if (command == Command::evacuate) {
    if (mayEvacuate(zone.name)) enter(zone, ZoneStatus::evacuated, Cause::commanded, 0);
    return;
  }
  trackBadVerdict(zone);
  bool isConfirmed = isConfirmedBad(zone);
  // A proxy that has just started, or has too few observations, follows the others of its zone.
  bool shouldEvacuate = isConfirmed || zone.isEvacuatedByPeers();
  if (shouldEvacuate && !zone.input.isDegraded && command != Command::restore &&
      mayEvacuate(zone.name))
    return evacuate(zone, isConfirmed);
  updateSuspicion(zone);
  bool isStable = state.status == ZoneStatus::active &&
                  zone.now - zone.timers.activeSince >= policy_.stableAfter;
  if (isStable) state.failedRecoveries = 0;
}

void EvacuationController::trackBadVerdict(ZoneContext& zone) const {
  TimePoint& badSince = zone.timers.badSince;
  if (!zone.isBad())
    badSince = kNever;
  else if (badSince == kNever)
    badSince = zone.now;
}

// The zone has been bad for at least EvacuationPolicy::confirmFor.
bool EvacuationController::isConfirmedBad(const ZoneContext& zone) const {
  return zone.isBad() && zone.now - zone.timers.badSince >= policy_.confirmFor;
}

void EvacuationController::evacuate(ZoneContext& zone, bool isConfirmed) {
  ZoneState& state = zone.state;
  if (!zone.votes.failedRecoveries.empty())
    state.failedRecoveries = std::max(state.failedRecoveries,
                                      medianOf(zone.votes.failedRecoveries));
  bool isFullEvacuation = zone.isGone() || (zone.isEvacuatedByPeers() && !zone.isBad());
  double share = isFullEvacuation ? 0 : 1 - movableShare(zone.name, zone.input);
  if (share > 1 - kMinShare) {
    // The other zones have no capacity for its traffic.
    enter(zone, ZoneStatus::suspect, Cause::grey, 1);
    return;
  }
  zone.timers.answeringSince = kNever;
  enter(zone, ZoneStatus::evacuated, evacuationCause(zone, isConfirmed),
        share < kMinShare ? 0 : share);
}

Cause EvacuationController::evacuationCause(const ZoneContext& zone, bool isConfirmed) const {
  if (!isConfirmed) return Cause::followed;
  if (!zone.isGone()) return Cause::grey;
  return isReachedFromOtherZones(zone) ? Cause::cutOff : Cause::gone;
}

bool EvacuationController::isReachedFromOtherZones(const ZoneContext& zone) const {
  const auto& others = zone.input.others;
  return std::any_of(others.begin(), others.end(), [&](const AgedReport* other) {
    const ZoneReport& report = other->report;
    return other->age <= policy_.lookback && report.zone != ownZone_ && !report.isDegraded &&
           opinionOf(report, zone.name) == Opinion::healthy;
  });
}

void EvacuationController::updateSuspicion(ZoneContext& zone) {
  bool isSuspect = zone.isBad() || zone.isSuspicious();
  if (zone.state.status == ZoneStatus::active && isSuspect) {
    bool isMostlyGone = zone.votes.gone.proxies >= zone.votes.grey.proxies;
    enter(zone, ZoneStatus::suspect, isMostlyGone ? Cause::gone : Cause::grey, 1);
  } else if (zone.state.status == ZoneStatus::suspect && !isSuspect) {
    enter(zone, ZoneStatus::active, Cause::recovered, 1);
    zone.timers.activeSince = zone.now;
  }
}

// ---- evacuated ----

void EvacuationController::decideEvacuated(ZoneContext& zone) {
  Command command = zone.state.command.command;
  zone.state.mayProbe = isTurnToProbe(zone.name, zone.input.liveProxiesInZone, zone.now);
  if (command == Command::evacuate) return;
  trackAnswers(zone);
  bool hasRecovered = hasAnsweredLongEnough(zone);
  bool isFollowing = zone.isRecoveringByPeers() && !zone.isBad();
  if (command != Command::restore && !hasRecovered && !isFollowing) return;
  zone.state.mayProbe = true;
  zone.timers.badSince = kNever;
  enter(zone, ZoneStatus::recovering,
        command == Command::restore ? Cause::commanded : Cause::recovered,
        std::max(zone.state.share, kInitialRecoveryShare));
}

// Relies on the proxies that probe the zone or still send it a share of its traffic. A proxy
// without peers relies on its own observations and, if it has none, on the time since the
// evacuation.
bool EvacuationController::isAnswering(const ZoneContext& zone) const {
  const ZoneVotes& votes = zone.votes;
  if (!zone.input.isAlone)
    return votes.healthy.proxies >= 1 && votes.healthy.weight >= kMajorityWeight * votes.weight();
  if (votes.proxies() > 0) return votes.healthy.proxies > 0;
  return zone.now - zone.state.since >= recoverAfter(zone.state.failedRecoveries);
}

// A round in which no proxy has an opinion doesn't interrupt the period of answers.
void EvacuationController::trackAnswers(ZoneContext& zone) const {
  TimePoint& answeringSince = zone.timers.answeringSince;
  bool answers = isAnswering(zone);
  if (!answers && zone.votes.weight() > 0) answeringSince = kNever;
  if (answers && answeringSince == kNever) answeringSince = zone.now;
}

bool EvacuationController::hasAnsweredLongEnough(const ZoneContext& zone) const {
  TimePoint answeringSince = zone.timers.answeringSince;
  return answeringSince > kNever &&
         zone.now - answeringSince >= recoverAfter(zone.state.failedRecoveries);
}

Duration EvacuationController::recoverAfter(int failedRecoveries) const {
  double factor = std::pow(2.0, std::min(failedRecoveries, kMaxDoublings));
  return std::min(policy_.maxRecoverAfter, policy_.recoverAfter * factor);
}

// Selects about EvacuationPolicy::probers proxies for each turn by hash, so that the choice needs
// no communication and changes from turn to turn.
bool EvacuationController::isTurnToProbe(const std::string& zone, std::size_t proxies,
                                         TimePoint now) const {
  std::uint64_t hash = hashOf(proxyName_, zone, now.us / kProbeTurn.us);
  return fractionOf(hash) < static_cast<double>(policy_.probers) / static_cast<double>(proxies);
}

// ---- recovering ----

void EvacuationController::decideRecovering(ZoneContext& zone) {
  ZoneState& state = zone.state;
  state.mayProbe = true;
  if (state.command.command == Command::evacuate) {
    enter(zone, ZoneStatus::evacuated, Cause::commanded, 0);
    return;
  }
  if (hasRelapsed(zone) && !zone.input.isDegraded) {
    ++state.failedRecoveries;
    zone.timers.answeringSince = kNever;
    enter(zone, ZoneStatus::evacuated, Cause::relapsed, 0);
    return;
  }
  double progress = (zone.now - state.since) / policy_.ramp;
  if (progress >= 1) {
    zone.timers.activeSince = zone.now;
    enter(zone, ZoneStatus::active, Cause::recovered, 1);
    return;
  }
  double share = kInitialRecoveryShare *
                 std::pow(1 / kInitialRecoveryShare, std::clamp(progress, 0.0, 1.0));
  if (share > state.share) enter(zone, ZoneStatus::recovering, state.cause, share);
}

bool EvacuationController::hasRelapsed(const ZoneContext& zone) const {
  const ZoneVotes& votes = zone.votes;
  if (zone.input.isAlone) return votes.gone.proxies > 0;
  return votes.badProxies() >= std::min(kRelapseProxies, zone.required()) &&
         votes.badWeight() >= kRelapseWeight * votes.weight();
}

// ---- capacity of the other zones ----

double EvacuationController::meanHeadroom(const RoundInput& input) const {
  double sum = 0;
  int reports = 0;
  if (input.own) {
    sum += input.own->headroom;
    ++reports;
  }
  for (const AgedReport* other : input.others) {
    if (other->age > policy_.lookback) continue;
    sum += other->report.headroom;
    ++reports;
  }
  return reports == 0 ? 0 : sum / reports;
}

// The fraction of a zone's traffic that the other zones have capacity for, estimated from the
// number of their stores.
double EvacuationController::movableShare(const std::string& zone, const RoundInput& input) const {
  double storesHere = 0;
  double storesElsewhere = 0;
  for (const auto& [name, stores] : input.storesByZone) {
    const ZoneState* state = find(name);
    if (name == zone)
      storesHere = stores;
    else
      storesElsewhere += stores * (state ? state->share : 1);
  }
  if (storesHere <= 0) return 1;
  double headroom = meanHeadroom(input);
  double used = std::max(kMinUsedFraction, 1 - headroom);
  return std::clamp(storesElsewhere * headroom * kUsableHeadroom / (storesHere * used), 0.0, 1.0);
}

bool EvacuationController::mayEvacuate(const std::string& zone) const {
  int evacuated = 0;
  int remaining = 0;
  for (const auto& [name, state] : zones_) {
    if (name == zone) continue;
    bool countsAsEvacuated = state.status == ZoneStatus::evacuated ||
                             state.status == ZoneStatus::recovering;
    ++(countsAsEvacuated ? evacuated : remaining);
  }
  return remaining > 0 && evacuated < policy_.maxEvacuated;
}

// ---- results ----

void EvacuationController::enter(ZoneContext& zone, ZoneStatus status, Cause cause, double share) {
  ZoneState& state = zone.state;
  ZoneStatus previous = state.status;
  bool isReported = previous != status || std::abs(state.share - share) >= kReportedShareStep;
  state.share = share;
  if (previous != status) {
    state.status = status;
    state.since = zone.now;
    state.cause = cause;
  }
  if (isReported) changes_.push_back({zone.name, state, previous});
}

bool EvacuationController::command(const std::string& zone, CommandRecord record,
                                   std::string& why) {
  auto found = zones_.find(zone);
  if (found == zones_.end()) {
    why = "no store of the endpoint list is in this zone";
    return false;
  }
  ZoneState& state = found->second;
  if (!overrides(record, state.command)) {
    why = "a later command is in force: generation " + std::to_string(state.command.generation);
    return false;
  }
  if (record.command == Command::evacuate && state.status != ZoneStatus::evacuated &&
      !mayEvacuate(zone)) {
    why = "too few zones would remain in use";
    return false;
  }
  state.command = std::move(record);
  return true;
}

void EvacuationController::addStatusTo(ZoneReport& report, TimePoint now) const {
  report.zone = ownZone_;
  for (const auto& [zone, state] : zones_) {
    ZoneCounters& counters = report.zones[zone];
    counters.status = state.status;
    counters.share = state.share;
    counters.failedRecoveries = state.failedRecoveries;
    counters.timeInStatus = now - state.since;
  }
}

}  // namespace reedchute::zones

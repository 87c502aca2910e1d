#include "zones/zone_votes.h"

#include <algorithm>

namespace reedchute::zones {
namespace {

constexpr int kMinObservations = 3;             // needed for an opinion of a zone
constexpr double kFullWeightObservations = 12;  // that give a vote its full weight
constexpr double kGoneUnhealthyFraction = 0.6;  // of the stores, if the zone is gone
constexpr int kGoneFailures = 3;  // consecutive failures, and unhealthy stores, of such a zone
constexpr double kGreyBadFraction = 0.4;   // of the observations of a grey zone, failed or late
constexpr double kSystemicBadRatio = 0.5;  // mean bad fraction of other zones to the zone's own
constexpr int kQuorum = 3;                 // proxies, or all if fewer are live
constexpr std::size_t kMinQuorum = 2;      // proxies

int observationsOf(const ZoneCounters& counters) {
  return counters.answers + counters.failed;
}

double badFractionOf(const ZoneCounters& counters) {
  int observations = observationsOf(counters);
  return observations == 0 ? 0
                           : static_cast<double>(counters.late + counters.failed) / observations;
}

// Whether the other zones fail to a similar degree, in which case no zone is the cause: an overload
// looks like a failing zone if only that zone is considered, and a proxy that is partitioned from
// the network or short of CPU observes all zones failing.
bool isSystemic(const ZoneReport& report, const std::string& zone, double badFraction) {
  int otherZones = 0;
  double otherBadFractions = 0;
  for (const auto& [name, counters] : report.zones) {
    if (name == zone || observationsOf(counters) < kMinObservations) continue;
    otherBadFractions += badFractionOf(counters);
    ++otherZones;
  }
  return otherZones > 0 && otherBadFractions / otherZones > badFraction * kSystemicBadRatio;
}

// Requires consecutive failures, as answers from before the zone was lost would otherwise count in
// its favor for the whole lookback.
bool isGone(const ZoneCounters& counters) {
  int stores = counters.healthy + counters.unhealthy;
  return counters.consecutiveFailures >= kGoneFailures && counters.unhealthy >= kGoneFailures &&
         counters.unhealthy >= kGoneUnhealthyFraction * stores;
}

void countStatus(const ZoneCounters& counters, ZoneVotes& votes) {
  if (counters.status == ZoneStatus::evacuated)
    ++votes.evacuated;
  else if (counters.status == ZoneStatus::recovering)
    ++votes.recovering;
  else
    ++votes.inUse;
  votes.failedRecoveries.push_back(counters.failedRecoveries);
}

void countOpinion(const ZoneReport& report, const std::string& zone, ZoneVotes& votes) {
  Opinion opinion = opinionOf(report, zone);
  if (opinion == Opinion::unknown) return;
  VoteTally& tally = opinion == Opinion::gone   ? votes.gone
                     : opinion == Opinion::grey ? votes.grey
                                                : votes.healthy;
  int observations = observationsOf(report.zones.at(zone));
  tally.weight += std::min(1.0, observations / kFullWeightObservations);
  ++tally.proxies;
}

// Whether proxies of all zones vote. They do if too few run in this proxy's zone, unless this proxy
// itself finds `zone` healthy.
bool doAllZonesVote(const std::string& zone, const RoundInput& input) {
  if (static_cast<int>(input.liveProxiesInZone) >= kQuorum) return false;
  bool findsHealthy = input.own && !input.isDegraded &&
                      opinionOf(*input.own, zone) == Opinion::healthy;
  return !findsHealthy;
}

}  // namespace

Opinion opinionOf(const ZoneReport& report, const std::string& zone) {
  auto found = report.zones.find(zone);
  if (found == report.zones.end()) return Opinion::unknown;
  const ZoneCounters& counters = found->second;
  if (observationsOf(counters) < kMinObservations) return Opinion::unknown;
  double badFraction = badFractionOf(counters);
  if (isSystemic(report, zone, badFraction)) return Opinion::unknown;
  // Failures that are confined to one replica group are attributed to the group, not to the zone.
  bool isOneGroup = counters.groups > 1 && counters.unhealthyGroups <= 1;
  if (isGone(counters)) return isOneGroup ? Opinion::unknown : Opinion::gone;
  if (counters.consecutiveFailures > 0) return Opinion::unknown;
  if (badFraction < kGreyBadFraction) return Opinion::healthy;
  return isOneGroup && counters.late == 0 ? Opinion::unknown : Opinion::grey;
}

ZoneVotes collectVotes(const std::string& zone, const std::string& ownZone, const RoundInput& input,
                       Duration maxAge) {
  ZoneVotes votes;
  bool doAllVote = doAllZonesVote(zone, input);
  // Only proxies in the own zone observe whether `zone` is reachable from there.
  auto mayVote = [&](const ZoneReport& report) { return doAllVote || report.zone == ownZone; };
  if (input.own && !input.isDegraded && mayVote(*input.own) && !input.own->isDegraded)
    countOpinion(*input.own, zone, votes);
  for (const AgedReport* other : input.others) {
    const ZoneReport& report = other->report;
    if (other->age > maxAge || !mayVote(report)) continue;
    auto counters = report.zones.find(zone);
    if (counters != report.zones.end()) countStatus(counters->second, votes);
    if (!report.isDegraded) countOpinion(report, zone, votes);
  }
  return votes;
}

int requiredVotes(std::size_t liveProxies) {
  return static_cast<int>(std::min<std::size_t>(kQuorum, std::max(kMinQuorum, liveProxies)));
}

}  // namespace reedchute::zones

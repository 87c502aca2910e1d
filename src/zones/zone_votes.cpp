#include "zones/zone_votes.h"

#include <algorithm>

namespace reedchute::zones {
namespace {

constexpr int kMinObservations = 3;             // from which a proxy has an opinion of a zone
constexpr double kFullWeightObservations = 12;  // from which its vote has its whole weight
constexpr double kGoneUnhealthyPart = 0.6;      // of a zone's stores that failed when last tried
constexpr int kGoneFailures = 3;  // consecutive ones, and unhealthy stores, of a zone that is gone
constexpr double kGreyBadPart = 0.4;        // of what was tried that failed or came late
constexpr double kSystemicBadPart = 0.5;    // of a zone's bad part that the others have, too
constexpr int kQuorum = 3;                  // proxies, or all where fewer are live
constexpr std::size_t kSmallestQuorum = 2;  // proxies

int observationsOf(const ZoneCounters& counters) {
  return counters.answers + counters.failed;
}

double badPartOf(const ZoneCounters& counters) {
  int observations = observationsOf(counters);
  return observations == 0 ? 0
                           : static_cast<double>(counters.late + counters.failed) / observations;
}

// An overload looks like a failing zone to whoever looks at that zone alone, and a proxy that is
// cut off or starved finds all zones failing. Where the others are as bad, no zone is the cause.
bool isSystemic(const ZoneReport& report, const std::string& zone, double badPart) {
  int otherZones = 0;
  double otherBadParts = 0;
  for (const auto& [name, counters] : report.zones) {
    if (name == zone || observationsOf(counters) < kMinObservations) continue;
    otherBadParts += badPartOf(counters);
    ++otherZones;
  }
  return otherZones > 0 && otherBadParts / otherZones > badPart * kSystemicBadPart;
}

// Consecutive failures are required, as answers from before a zone was lost would otherwise speak
// for it during the whole lookback.
bool isGone(const ZoneCounters& counters) {
  int stores = counters.healthy + counters.unhealthy;
  return counters.consecutiveFailures >= kGoneFailures && counters.unhealthy >= kGoneFailures &&
         counters.unhealthy >= kGoneUnhealthyPart * stores;
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
  Ballot& ballot = opinion == Opinion::gone   ? votes.gone
                   : opinion == Opinion::grey ? votes.grey
                                              : votes.healthy;
  int observations = observationsOf(report.zones.at(zone));
  ballot.weight += std::min(1.0, observations / kFullWeightObservations);
  ++ballot.proxies;
}

// Whether proxies of all zones vote: where too few run in this zone, unless this proxy itself finds
// the zone healthy.
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
  double badPart = badPartOf(counters);
  if (isSystemic(report, zone, badPart)) return Opinion::unknown;
  // Failures of one replica group, in whatever zones, are that group's.
  bool isOneGroup = counters.groups > 1 && counters.unhealthyGroups <= 1;
  if (isGone(counters)) return isOneGroup ? Opinion::unknown : Opinion::gone;
  if (counters.consecutiveFailures > 0) return Opinion::unknown;
  if (badPart < kGreyBadPart) return Opinion::healthy;
  return isOneGroup && counters.late == 0 ? Opinion::unknown : Opinion::grey;
}

ZoneVotes collectVotes(const std::string& zone, const std::string& ownZone, const RoundInput& input,
                       Duration maxAge) {
  ZoneVotes votes;
  bool doAllVote = doAllZonesVote(zone, input);
  // Only proxies in a zone know how other zones are reached from there.
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
  return static_cast<int>(std::min<std::size_t>(kQuorum, std::max(kSmallestQuorum, liveProxies)));
}

}  // namespace reedchute::zones

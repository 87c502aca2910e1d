// Aggregates the reports of many proxies into votes on one zone. Pure functions.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "zones/zone_report.h"

namespace reedchute::zones {

// The input of one round of decisions.
struct RoundInput {
  std::size_t liveProxies = 1;
  std::size_t liveProxiesInZone = 1;  // in this proxy's zone, including itself
  bool isAlone = true;                // no report of another proxy is known
  bool isDegraded = false;            // this proxy is locally degraded
  const ZoneReport* own = nullptr;
  std::vector<const AgedReport*> others;
  std::map<std::string, int> storesByZone;  // number of stores in the endpoint list
};

// - unknown: too few observations, or failures that this zone doesn't explain.
// - healthy: the zone answers.
// - gone: most of the zone's stores fail.
// - grey: a gray failure; the zone answers, but late or with errors.
enum class Opinion { unknown, healthy, gone, grey };

// The opinion of a zone that follows from the counters of one proxy.
Opinion opinionOf(const ZoneReport& report, const std::string& zone);

struct VoteTally {
  double weight = 0;  // up to 1 per proxy, by its number of observations
  int proxies = 0;
};

struct ZoneVotes {
  VoteTally gone;
  VoteTally grey;
  VoteTally healthy;
  // Number of other proxies by how they use the zone.
  int evacuated = 0;
  int recovering = 0;
  int inUse = 0;
  std::vector<int> failedRecoveries;  // as counted by each of the other proxies

  double weight() const { return gone.weight + grey.weight + healthy.weight; }
  double badWeight() const { return gone.weight + grey.weight; }
  int proxies() const { return gone.proxies + grey.proxies + healthy.proxies; }
  int badProxies() const { return gone.proxies + grey.proxies; }
  int statuses() const { return evacuated + recovering + inUse; }
};

// Collects the votes of the proxies in `ownZone` on `zone`, or of all proxies if too few run in
// `ownZone`. Reports older than `maxAge` are ignored.
ZoneVotes collectVotes(const std::string& zone, const std::string& ownZone, const RoundInput& input,
                       Duration maxAge);

// The number of proxies that must agree on a verdict.
int requiredVotes(std::size_t liveProxies);

}  // namespace reedchute::zones

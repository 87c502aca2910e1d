// What the reports of many proxies say of one zone. Pure functions.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "zones/zone_report.h"

namespace reedchute::zones {

// What one round of decisions rests on.
struct RoundInput {
  std::size_t liveProxies = 1;
  std::size_t liveProxiesInZone = 1;  // in this proxy's zone, itself included
  bool isAlone = true;                // no other proxy's report is known
  bool isDegraded = false;            // this proxy is locally degraded
  const ZoneReport* own = nullptr;
  std::vector<const AgedReport*> others;
  std::map<std::string, int> storesByZone;  // of the endpoint list
};

// `grey`: a gray failure, where the zone answers, but badly.
enum class Opinion { unknown, healthy, gone, grey };

// What one proxy's counters say of a zone.
Opinion opinionOf(const ZoneReport& report, const std::string& zone);

struct Ballot {
  double weight = 0;  // of the proxies' observations
  int proxies = 0;
};

struct ZoneVotes {
  Ballot gone;
  Ballot grey;
  Ballot healthy;
  // How the other proxies use the zone.
  int evacuated = 0;
  int recovering = 0;
  int inUse = 0;
  std::vector<int> failedRecoveries;  // as the other proxies count them

  double weight() const { return gone.weight + grey.weight + healthy.weight; }
  double badWeight() const { return gone.weight + grey.weight; }
  int proxies() const { return gone.proxies + grey.proxies + healthy.proxies; }
  int badProxies() const { return gone.proxies + grey.proxies; }
  int statuses() const { return evacuated + recovering + inUse; }
};

// The votes of those who can tell how `zone` is reached from `ownZone`. Reports older than `maxAge`
// don't count.
ZoneVotes collectVotes(const std::string& zone, const std::string& ownZone, const RoundInput& input,
                       Duration maxAge);

// How many proxies must agree.
int requiredVotes(std::size_t liveProxies);

}  // namespace reedchute::zones

// The report that a proxy sends to the others: counters for each zone and how it uses the zone. All
// decisions about zones are based on these reports.
#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace reedchute::zones {

// How a proxy uses a zone. The values are those on the wire.
// - active: the usual share of traffic.
// - suspect: the usual share, though the zone seems to fail.
// - evacuated: a reduced share or none.
// - recovering: a share that grows back to the usual one.
enum class ZoneStatus { active = 0, suspect = 1, evacuated = 2, recovering = 3 };
// The name used in logs.
const char* nameOf(ZoneStatus status);

inline constexpr int kMaxCount = 1 << 20;  // limit of each counter of a report

// Counters of one zone, over EvacuationPolicy::lookback.
struct ZoneCounters {
  int answers = 0;
  int late = 0;                 // answers that were late
  int failed = 0;               // failed connects, missing answers and broken connections
  int consecutiveFailures = 0;  // since the last answer of any store of the zone
  int healthy = 0;              // stores whose last observation was an answer
  int unhealthy = 0;            // stores whose last observation was a failure
  int unhealthyGroups = 0;      // replica groups with an unhealthy store
  int groups = 0;               // replica groups that were observed
  ZoneStatus status = ZoneStatus::active;
  Duration timeInStatus{};
  double share = 1;          // of the usual traffic that the proxy sends to the zone
  int failedRecoveries = 0;  // since the zone was last stable
};

struct ZoneReport {
  std::string zone;         // the zone that the proxy runs in
  bool isDegraded = false;  // the proxy was paused or is overloaded, by its own local health
  double statementsPerSecond = 0;
  double headroom = 1;  // unused fraction of the proxy's capacity
  std::map<std::string, ZoneCounters> zones;
};

struct AgedReport {
  ZoneReport report;
  Duration age;
};

std::string encodeReport(const ZoneReport& report);
// Returns false and leaves `into` unchanged if the bytes can't be decoded or the counts are
// inconsistent.
bool decodeReport(const std::string& bytes, ZoneReport& into);

}  // namespace reedchute::zones

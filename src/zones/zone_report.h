// What a proxy reports of each zone to the others: small counts, and how it uses the zone. All
// decisions about zones rest on these reports.
#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace reedchute::zones {

// How a proxy uses a zone: as usual, as usual though it seems to fail, less or not at all, and more
// and more again.
enum class ZoneStatus { active = 0, suspect = 1, evacuated = 2, recovering = 3 };
// The name in the log.
const char* nameOf(ZoneStatus status);

inline constexpr int kMaxCount = 1 << 20;  // in any counter of a report

// One zone, within EvacuationPolicy::lookback.
struct ZoneCounters {
  int answers = 0;
  int late = 0;                 // of the answers
  int failed = 0;               // connects that failed, missing answers, broken connections
  int consecutiveFailures = 0;  // since any store of the zone has answered
  int healthy = 0;              // stores, by the last observation of each
  int unhealthy = 0;
  int unhealthyGroups = 0;  // replica groups with an unhealthy store
  int groups = 0;           // replica groups that were observed
  ZoneStatus status = ZoneStatus::active;
  Duration timeInStatus{};
  double share = 1;          // of the usual traffic that the proxy sends there
  int failedRecoveries = 0;  // since the zone was last stable
};

struct ZoneReport {
  std::string zone;         // that the proxy runs in
  bool isDegraded = false;  // by its own word: it was paused, or can't keep up
  double statementsPerSecond = 0;
  double headroom = 1;  // unused part of what it may send
  std::map<std::string, ZoneCounters> zones;
};

struct AgedReport {
  ZoneReport report;
  Duration age;
};

std::string encodeReport(const ZoneReport& report);
// False, and `into` unchanged, where the bytes can't be decoded or the counts contradict each
// other.
bool decodeReport(const std::string& bytes, ZoneReport& into);

}  // namespace reedchute::zones

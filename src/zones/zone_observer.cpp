#include "zones/zone_observer.h"

#include <algorithm>
#include <set>

namespace reedchute::zones {

void ZoneObserver::setStore(int store, const std::string& zone, int group) {
  auto index = static_cast<std::size_t>(store);
  if (stores_.size() <= index) stores_.resize(index + 1);
  Store& entry = stores_[index];
  if (zone.empty() || entry.zone != zone) entry = Store{};
  entry.zone = zone;
  entry.group = group;
}

void ZoneObserver::observe(int store, Observation observation, TimePoint now) {
  auto index = static_cast<std::size_t>(store);
  if (index >= stores_.size() || stores_[index].zone.empty()) return;
  Store& entry = stores_[index];
  std::int64_t number = bucketNumber(now);
  Bucket& bucket = entry.buckets[number % kBuckets];
  if (bucket.number != number) bucket = Bucket{.number = number};
  bool hasFailed = observation == Observation::failed;
  if (hasFailed) ++bucket.failed;
  if (!hasFailed) ++bucket.answers;
  if (observation == Observation::answeredLate) ++bucket.late;
  entry.isUnhealthy = hasFailed;
  entry.lastObserved = now;
  int& failures = consecutiveFailures_[entry.zone];
  failures = hasFailed ? std::min(failures + 1, kMaxCount) : 0;
}

void ZoneObserver::addCounts(const Store& store, TimePoint now, ZoneCounters& counters) const {
  std::int64_t oldest = bucketNumber(now) - kBuckets + 1;
  for (const Bucket& bucket : store.buckets) {
    if (bucket.number < oldest) continue;
    counters.answers += bucket.answers;
    counters.late += bucket.late;
    counters.failed += bucket.failed;
  }
}

std::map<std::string, ZoneCounters> ZoneObserver::counters(TimePoint now) {
  struct Groups {
    std::set<int> observed;
    std::set<int> unhealthy;
  };
  std::map<std::string, ZoneCounters> zones;
  std::map<std::string, Groups> groupsByZone;
  for (const Store& store : stores_) {
    if (store.zone.empty()) continue;
    ZoneCounters& counters = zones[store.zone];
    addCounts(store, now, counters);
    if (now - store.lastObserved > lookback_) continue;
    ++(store.isUnhealthy ? counters.unhealthy : counters.healthy);
    Groups& groups = groupsByZone[store.zone];
    groups.observed.insert(store.group);
    if (store.isUnhealthy) groups.unhealthy.insert(store.group);
  }
  for (auto& [zone, counters] : zones)
    if (counters.failed > 0) counters.consecutiveFailures = consecutiveFailures_[zone];
  for (const auto& [zone, groups] : groupsByZone) {
    zones[zone].groups = static_cast<int>(groups.observed.size());
    zones[zone].unhealthyGroups = static_cast<int>(groups.unhealthy.size());
  }
  return zones;
}

int ZoneObserver::storesIn(const std::string& zone) const {
  return static_cast<int>(std::count_if(stores_.begin(), stores_.end(),
                                        [&](const Store& store) { return store.zone == zone; }));
}

}  // namespace reedchute::zones

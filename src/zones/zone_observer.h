// Counts the outcomes that one proxy observes at the stores, and aggregates them by zone. Performs
// no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "zones/zone_report.h"

namespace reedchute::zones {

class ZoneObserver {
 public:
  enum class Observation { answered, answeredLate, failed };

  explicit ZoneObserver(Duration lookback) : lookback_(lookback) {}

  // Adds or updates a store of the endpoint list. Its group and zone may change; a change of zone
  // clears its counts. An empty zone removes the store.
  void setStore(int store, const std::string& zone, int group);
  void observe(int store, Observation observation, TimePoint now);
  // The counters within the lookback, for each zone that has stores in the endpoint list.
  std::map<std::string, ZoneCounters> counters(TimePoint now);
  int storesIn(const std::string& zone) const;

 private:
  // Buckets per lookback. Old counts expire bucket by bucket.
  static constexpr int kBuckets = 4;
  struct Bucket {
    std::int64_t number = -1;  // buckets since the clock's epoch
    int answers = 0;
    int late = 0;
    int failed = 0;
  };
  struct Store {
    std::string zone;
    int group = -1;
    bool isUnhealthy = false;
    TimePoint lastObserved = kNever;
    Bucket buckets[kBuckets];
  };

  std::int64_t bucketNumber(TimePoint now) const { return now.us * kBuckets / lookback_.us; }
  void addCounts(const Store& store, TimePoint now, ZoneCounters& counters) const;

  Duration lookback_;
  std::vector<Store> stores_;
  std::map<std::string, int> consecutiveFailures_;  // by zone
};

}  // namespace reedchute::zones

// Counts what one proxy observes of the stores, and sums it up by zone. Without I/O and clock.
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

  // A store of the endpoint list. Its group and zone may change; with an empty zone it is removed.
  void setStore(int store, const std::string& zone, int group);
  void observe(int store, Observation observation, TimePoint now);
  // The counters of each zone that has stores in the endpoint list.
  std::map<std::string, ZoneCounters> counters(TimePoint now);
  int storesIn(const std::string& zone) const;

 private:
  // The lookback is divided into buckets, so that old counts expire bucket by bucket.
  static constexpr int kBuckets = 4;
  struct Bucket {
    std::int64_t number = -1;  // since the epoch of the clock
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
  void sumUp(const Store& store, TimePoint now, ZoneCounters& counters) const;

  Duration lookback_;
  std::vector<Store> stores_;
  std::map<std::string, int> consecutiveFailures_;  // by zone
};

}  // namespace reedchute::zones

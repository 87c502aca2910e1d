// The modules that own the state of stores, all indexed by store.
//
// The engine forwards events to each of them; policies read them.
#pragma once

#include "base/time.h"
#include "decision/clock_skew.h"
#include "decision/concurrency_limit.h"
#include "decision/endpoint_list.h"
#include "decision/freshness.h"
#include "decision/outlier_detection.h"
#include "decision/primary_tracker.h"
#include "decision/slow_start.h"
#include "decision/throughput.h"
#include "decision/types.h"
#include "decision/workload_statistics.h"

namespace reedchute {

struct StoreModules {
  StoreModules(const EngineSettings& settings, TimePoint now);

  // Resets the store to the state where nothing is known of it, adding it if its index is new. Its
  // data counts as drained.
  void reset(int store, TimePoint now);
  void ensureGroup(int group);
  void ensureZone(int zone);

  // True if the store is listed as up and is available: neither ejected nor left to probes.
  bool isUsable(int store, TimePoint now) const {
    return endpoints.isUp(store) && health.isAvailable(store, now);
  }
  bool isInSuspectZone(int store, TimePoint now) const {
    return health.isZoneSuspect(endpoints.zone(store), now);
  }
  bool hasUsablePrimary(int group, TimePoint now) const;

  WorkloadStatistics statistics;
  const Duration rateMemory;  // time constant of decaying rates
  EndpointList endpoints;
  Freshness freshness;
  PrimaryTracker primaries;
  ConcurrencyLimit limits;
  OutlierDetection health;
  ClockSkew clockSkew;
  SlowStart slowStart;
  Throughput throughput;
};

}  // namespace reedchute

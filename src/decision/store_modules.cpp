#include "decision/store_modules.h"

#include <algorithm>

namespace reedchute {
namespace {

constexpr double kRateMemory = 0.25;     // of the warm-up time
constexpr double kThroughputMemory = 2;  // rate memories

}  // namespace

StoreModules::StoreModules(const EngineSettings& settings, TimePoint now)
    : statistics(settings),
      rateMemory(std::max(settings.warmUpTime * kRateMemory, statistics.smallestSlo())),
      endpoints(settings, now),
      freshness(settings, statistics.smallestBound()),
      primaries(settings),
      limits(settings),
      health(settings, statistics.smallestSlo(), limits.isSharedByManyProxies()),
      slowStart(settings, clockSkew),
      throughput(rateMemory * kThroughputMemory,
                 std::max(settings.coldOverloadWindow, statistics.smallestSlo())) {}

void StoreModules::reset(int store, TimePoint now) {
  endpoints.reset(store);
  freshness.reset(store, now);
  primaries.reset(store);
  limits.reset(store);
  health.reset(store, now);
  slowStart.reset(store, now);
}

void StoreModules::ensureGroup(int group) {
  endpoints.ensureGroup(group);
  primaries.ensureGroup(group);
  throughput.ensureGroup(group);
}

void StoreModules::ensureZone(int zone) {
  endpoints.ensureZone(zone);
  health.ensureZone(zone);
}

bool StoreModules::hasUsablePrimary(int group, TimePoint now) const {
  int primary = primaries.primary(group);
  return primary >= 0 && isUsable(primary, now);
}

}  // namespace reedchute

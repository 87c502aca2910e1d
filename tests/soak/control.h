// Memory that the controller shares with all its peers: what each of them is to do wrong at this
// moment.
#pragma once

#include <atomic>
#include <cstdint>

#include "faults.h"

namespace soak {

inline constexpr int kStores = 64;  // in all, with those that come later
inline constexpr int kFronts = 8;

enum class ListState : int { absent = 0, up, draining, removed };
enum class ListMode : int { normal = 0, silent, unavailable, slow };

// A store and the proxy before it.
struct StoreControl {
  std::atomic<int> proxyPort, backendPort;  // 0: none
  std::atomic<int> group, listed;           // a ListState
  std::atomic<bool> primary;
  std::atomic<std::int64_t> startedMs;  // wall clock, as the list tells
  std::atomic<std::int64_t>
      frozenAt;             // its log stands since then (wall clock, us); 0: it follows the primary
  std::atomic<bool> hangs;  // takes statements and never answers
  std::atomic<int> failsOneIn, refusesOneIn;  // statements that end as an error, or are turned away
  std::atomic<int> spoilsOneIn;               // answers that are garbage
  std::atomic<int> serviceUs;                 // that a statement takes
  // the proxy
  std::atomic<bool> blackhole;   // nothing passes, nothing is closed
  std::atomic<int> resetOneIn;   // chunks at which a connection is reset
  std::atomic<int> closeIdleMs;  // connections that rest so long are closed; 0: never
  std::atomic<int> connectDelayMs;
  std::atomic<int> resetAll;  // counted up to reset all connections
};

struct Control {
  StoreControl stores[kStores];
  std::atomic<int> storeCount;
  std::atomic<std::int64_t> listVersion;
  std::atomic<int> changedAt[kStores];  // the list's version at which this store changed last
  std::atomic<int> listMode[2];         // a ListMode, of either agent of all fronts
  std::atomic<int> resetLists;          // counted up to reset all watches
  std::atomic<bool> stop;               // clients ask nothing new
  std::atomic<int> leaveBurst;          // counted up: clients that wait for an answer leave
  std::atomic<int> crowd;               // connections of each client process that say nothing
  std::atomic<int> leavesOneIn, pipelinesOneIn, stopsOneIn, restsOneIn, garbageOneIn;
  std::atomic<int> thinkUs;
  std::atomic<int> frontPort[kFronts];
};

}  // namespace soak

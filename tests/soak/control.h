// Memory that the controller shares with the peer processes of a soak run: the faults that each
// peer injects at present. A "front" is a reedchute process under test, to tell it apart from the
// fault-injecting proxies between the fronts and the stores.
#pragma once

#include <atomic>
#include <cstdint>

#include "faults.h"
#include "slow_start_terms.h"

namespace soak {

inline constexpr int kStores = 64;  // at most, including those that join during a run
inline constexpr int kFronts = 48;

enum class ListState : int { absent = 0, up, draining, removed };
enum class ListMode : int { normal = 0, silent, unavailable, slow };

// A store and the fault-injecting proxy before it.
struct StoreControl {
  std::atomic<int> proxyPort, backendPort;  // 0: none
  std::atomic<int> group, listed;           // a ListState
  std::atomic<bool> primary;
  std::atomic<std::int64_t> startedMs;  // wall clock, as reported in the endpoint list
  // Wall clock (us) at which its replication log stopped advancing; 0: it follows the primary.
  std::atomic<std::int64_t> frozenAt;
  std::atomic<bool> hangs;  // accepts statements and never responds
  // One in so many statements ends in an error, or is refused; 0: none.
  std::atomic<int> failsOneIn, refusesOneIn;
  std::atomic<int> spoilsOneIn;  // one in so many responses is malformed
  std::atomic<int> serviceUs;    // service time of a statement
  // The fault-injecting proxy.
  std::atomic<bool> blackhole;   // forwards nothing and closes nothing
  std::atomic<int> resetOneIn;   // resets the connection at one in so many chunks; 0: never
  std::atomic<int> closeIdleMs;  // closes connections that are idle for so long; 0: never
  std::atomic<int> connectDelayMs;
  std::atomic<int> resetAll;  // incremented to reset all connections
};

struct Control {
  StoreControl stores[kStores];
  StoreTerms storeTerms;  // set before the first store starts
  std::atomic<int> storeCount;
  std::atomic<std::int64_t> listVersion;
  std::atomic<int> changedAt[kStores];  // endpoint list version at which this store last changed
  std::atomic<int> listMode[2];         // a ListMode; index: which of the two agents of each front
  std::atomic<int> resetLists;          // incremented to reset all endpoint list connections
  std::atomic<bool> stop;               // clients send no new statements
  std::atomic<int> leaveBurst;  // incremented: half of the clients awaiting a response disconnect
  std::atomic<int> crowd;       // connections of each client process that send no statement
  // Client behaviour, each once in so many times (0: never): disconnects before the response,
  // pipelines statements, stops in the middle of a message, pauses, sends random bytes.
  std::atomic<int> leavesOneIn, pipelinesOneIn, stopsOneIn, restsOneIn, garbageOneIn;
  std::atomic<int> thinkUs;  // upper bound of the random pause between statements
  std::atomic<int> frontPort[kFronts];
};

}  // namespace soak

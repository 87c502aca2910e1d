// The processes around the fronts: stores, the fault-injecting proxies before them, the endpoint
// list service, and clients. Each runs until it is killed, injects the faults that the shared
// Control contains, and records events.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control.h"
#include "record.h"

namespace soak {

// The workloads, in the order of the fronts' settings.
struct Workload {
  const char* name;
  Effect effect;
  bool write;
  std::int64_t boundUs;  // staleness bound of a read; 0: unbounded
};
inline constexpr Workload kWorkloads[] = {{"any", Effect::repeatable, false, 0},
                                          {"near", Effect::repeatable, false, 1'000'000},
                                          {"write", Effect::deduplicated, true, 0},
                                          {"once", Effect::once, true, 0}};

// Range of the deadlines that clients set for their statements.
inline constexpr int kMinDeadlineMs = 300;
inline constexpr int kMaxDeadlineMs = 1'500;
// The shutdown contract: after SIGTERM, SIGKILL is sent no earlier than the longest of these
// deadlines plus 0.7 s.
inline constexpr std::int64_t kDrainUs = 700'000;
inline constexpr std::int64_t kKillAfterTermUs = kMaxDeadlineMs * 1'000 + kDrainUs;

struct StoreOptions {
  int index = 0;
  bool startsCold = false;
  std::string events;
};
[[noreturn]] void runStore(Control& control, const StoreOptions& options);

struct ProxyOptions {
  std::vector<std::pair<int, int>> listeners;  // store index and listening socket
  int pollMs = 10;  // how soon a fault begins on a connection without traffic
};
[[noreturn]] void runProxy(Control& control, const ProxyOptions& options);

struct ListOptions {
  struct Agent {
    int front = 0, which = 0, socket = -1;
  };
  std::vector<Agent> agents;
  std::string events;
};
[[noreturn]] void runList(Control& control, const ListOptions& options);
// Returns the whole endpoint list in the JSON form of the discovery service.
std::string wholeList(const Control& control);

struct ClientOptions {
  int number = 0, threads = 4, fronts = 1;
  // One statement in so many is a write, the others are reads; 0: all workloads are as frequent.
  int writesOneIn = 0;
  std::uint64_t seed = 0;
  std::string events;
};
// Exits once Control::stop is set and no response is awaited.
[[noreturn]] void runClients(Control& control, const ClientOptions& options);

// The address on which front `k` listens.
std::string frontHost(int k);

}  // namespace soak

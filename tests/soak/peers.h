// The processes around the fronts: stores, the proxy before them, the list's service, and clients.
// Each runs until it is killed, does what the shared control tells it to do wrong, and records what
// it sees.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control.h"
#include "record.h"

namespace soak {

// The workloads of the fronts' settings, in their order.
struct Workload {
  const char* name;
  Effect effect;
  bool write;
  std::int64_t boundUs;  // how old a read's data may be; 0: of any age
};
inline constexpr Workload kWorkloads[] = {{"any", Effect::repeatable, false, 0},
                                          {"near", Effect::repeatable, false, 1'000'000},
                                          {"write", Effect::deduplicated, true, 0},
                                          {"once", Effect::once, true, 0}};

// The time that clients give a statement.
inline constexpr int kMinDeadlineMs = 300;
inline constexpr int kMaxDeadlineMs = 1'500;
// The page: SIGKILL comes no earlier after SIGTERM than the longest of these times and 0.7 s.
inline constexpr std::int64_t kDrainUs = 700'000;
inline constexpr std::int64_t kKillAfterTermUs = kMaxDeadlineMs * 1'000 + kDrainUs;

struct StoreOptions {
  int index = 0;
  std::string events;
};
[[noreturn]] void runStore(Control& control, const StoreOptions& options);

struct ProxyOptions {
  std::vector<std::pair<int, int>> listeners;  // store and listening socket
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
// The list as it stands, in the service's form.
std::string wholeList(const Control& control);

struct ClientOptions {
  int number = 0, threads = 4, fronts = 1;
  std::uint64_t seed = 0;
  std::string events;
};
// Ends once the control says so and nothing is waited for any more.
[[noreturn]] void runClients(Control& control, const ClientOptions& options);

// The address on which front `k` listens.
std::string frontHost(int k);

}  // namespace soak

// Guards against cold stores that are overrun by a fleet in an overload: some 35 fronts, stores
// that can execute a limited number of statements, of which several crash and come back cold, and
// clients that send again at once. A store that gets more than it bears ends.
//   cold_stores PROGRAM LIBRARY [--seed N] [--keep FOLDER]
// Prints what each cold store got; the exit code is 1 if a rule was violated, a store failed or a
// cold store got too little.
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fleet.h"
#include "oracle.h"
#include "report.h"

namespace soak {
namespace {

constexpr std::int64_t kUsPerMs = 1'000;
// Fraction of its warmth times the mean load of a warm member that a cold store gets at least.
constexpr double kLeastShare = 0.5;
constexpr int kGroups = 2, kStoresPerGroup = 6;

FleetOptions fleetOptions(const std::string& program, const std::string& library,
                          const std::string& folder, std::uint64_t seed) {
  FleetOptions f{.program = program, .library = library, .folder = folder, .seed = seed};
  f.fronts = 32 + static_cast<int>(seed % 3) * 4;
  f.groups = kGroups, f.storesPerGroup = kStoresPerGroup, f.spareStores = 0;
  f.clientProcesses = 6, f.threadsPerProcess = 100, f.thinkUs = 4'000'000, f.writesOneIn = 10;
  f.proxyPollMs = 200;
  f.storeTerms = {.workers = 2,
                  .serviceUs = 50'000,
                  .maxQueued = 40,
                  .rampUs = 8'000'000,
                  .windowUs = 1'000'000,
                  .fails = true};
  return f;
}

// The events of a run, in a fixed order of times that the seed varies.
class Scenario {
 public:
  Scenario(Fleet& fleet, std::uint64_t seed)
      : fleet_(fleet), random_(seed), startedAt_(monotonicUs()) {}

  void run() {
    Control& control = fleet_.control();
    int killed = anyFront(), terminated = anyFront(), reloaded = anyFront();
    if (below(2) == 0) control.thinkUs = 12'000'000;  // quiet before the burst
    waitUntil(3'000);
    fleet_.killFront(killed);
    waitUntil(3'400);
    crashStores();
    waitUntil(4'300);
    startStores();
    publishStores();
    waitUntil(static_cast<int>(4'400 + below(1'500)));
    control.thinkUs = 0;
    waitUntil(5'900);
    fleet_.startFront(killed);
    waitUntil(6'200);
    if (terminated != killed) endFront(terminated);
    if (reloaded != terminated && reloaded != killed) fleet_.reloadFront(reloaded, 1);
    waitUntil(7'000);
    if (below(2) == 0) startAgain(stores_.front());
    waitUntil(12'500);
  }

 private:
  unsigned below(unsigned n) { return static_cast<unsigned>(random_() % n); }
  int anyFront() { return static_cast<int>(below(static_cast<unsigned>(fleet_.options().fronts))); }

  void waitUntil(int ms) {
    while (monotonicUs() < startedAt_ + ms * kUsPerMs) {
      fleet_.reap();
      if (terminated_ >= 0 && !fleet_.frontRuns(terminated_))
        fleet_.startFront(std::exchange(terminated_, -1));
      usleep(5'000);
    }
  }
  // Two members of each group; one of them may be the primary.
  void crashStores() {
    for (int group = 0; group < kGroups; ++group) {
      int first = static_cast<int>(below(kStoresPerGroup));
      for (int k : {first, first + 1 + static_cast<int>(below(kStoresPerGroup - 1))})
        stores_.push_back(group + kGroups * (k % kStoresPerGroup));
    }
    for (int store : stores_) fleet_.killStore(store);
  }
  void startCold(int store) {
    fleet_.control().stores[store].startedMs = wallUs() / kUsPerMs;
    fleet_.startStore(store, false);
  }
  void startStores() {
    for (int store : stores_) startCold(store);
  }
  void publishStores() {
    for (int store : stores_) fleet_.publishChange(store);
  }
  void startAgain(int store) {
    fleet_.killStore(store);
    startCold(store);
    fleet_.publishChange(store);
  }
  void endFront(int front) {
    fleet_.terminateFront(front);
    fleet_.signalAgain(front);
    terminated_ = front;
  }

  Fleet& fleet_;
  std::mt19937_64 random_;
  std::int64_t startedAt_;
  std::vector<int> stores_;  // those that crash
  int terminated_ = -1;      // a front to start again once it has ended
};

// Attempts that the store received in [from, to).
int received(const std::vector<Event>& events, int store, std::int64_t from, std::int64_t to) {
  int count = 0;
  for (const Event& e : events)
    count += e.kind == Kind::storeReceived && e.store == store && e.at >= from && e.at < to;
  return count;
}

// Prints what each cold store got from when the list contained its start. Returns the number of
// stores that failed or got too little.
int checkColdStores(const std::vector<Event>& events, const StoreTerms& terms) {
  int failures = 0;
  for (const Event& e : events)
    if (e.kind == Kind::storeFailed)
      ++failures, std::printf("  store %d failed with %lld statements in its window\n", e.store,
                              static_cast<long long>(e.value));
  std::int64_t end = events.back().at;
  for (const Event& e : events)
    if (e.kind == Kind::storeStarted && e.value == 1) end = std::min(end, e.at + 13'000'000);
  for (const Event& start : events) {
    if (start.kind != Kind::storeStarted || start.value == 1) continue;
    std::int64_t from = start.at + 2'000'000, to = end;
    double expected = 0;
    int warm = 0;
    for (int store = start.store % kGroups; store < kGroups * kStoresPerGroup; store += kGroups) {
      bool isCold = std::any_of(events.begin(), events.end(), [&](const Event& other) {
        return other.kind == Kind::storeStarted && other.value == 0 && other.store == store;
      });
      if (isCold) continue;
      ++warm;
      expected += received(events, store, from, to);
    }
    expected *= terms.warmth((from + to) / 2 - start.at) / std::max(1, warm);
    int got = received(events, start.store, from, to);
    bool isStarved = got < kLeastShare * expected;
    std::printf("  store %d got %d, its share is %.0f%s\n", start.store, got, expected,
                isStarved ? ": TOO LITTLE" : "");
    failures += isStarved;
  }
  return failures;
}

bool runOnce(const std::string& program, const std::string& library, std::uint64_t seed,
             const std::string& keep) {
  char folder[] = "/tmp/reedchute-cold-XXXXXX";
  if (!mkdtemp(folder)) return false;
  FleetOptions f = fleetOptions(program, library, folder, seed);
  bool passed = true;
  {
    Fleet fleet(f);
    passed = fleet.start();
    if (passed) Scenario(fleet, seed).run(), passed = fleet.finish();
  }
  OracleOptions options;
  options.drainGraceUs = f.drainGraceMs * kUsPerMs;
  options.deduplicationWindowUs = f.deduplicationWindowMs * kUsPerMs;
  options.storeTerms = f.storeTerms;
  std::vector<Event> events = readEvents(folder);
  Verdict verdict = judge(events, options);
  printVerdict(verdict);
  int failures = events.empty() ? 1 : checkColdStores(events, f.storeTerms);
  passed = passed && verdict.violations.empty() && verdict.served > 0 && failures == 0 &&
           printFailedChecks(folder) == 0;
  std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), passed ? "kept" : "BROKEN");
  if (!passed && !keep.empty()) keepFolder(folder, keep, seed);
  std::filesystem::remove_all(folder);
  return passed;
}

}  // namespace
}  // namespace soak

int main(int argc, char** argv) {
  if (argc < 3 || argc % 2 == 0) {
    std::fprintf(stderr, "usage: cold_stores PROGRAM LIBRARY [--seed N] [--keep FOLDER]\n");
    return 2;
  }
  std::uint64_t seed = 1;
  std::string keep;
  for (int k = 3; k + 1 < argc; k += 2) {
    if (std::string(argv[k]) == "--seed") seed = std::strtoull(argv[k + 1], nullptr, 10);
    if (std::string(argv[k]) == "--keep") keep = argv[k + 1];
  }
  bool passed = soak::runOnce(std::filesystem::absolute(argv[1]),
                              std::filesystem::absolute(argv[2]), seed, keep);
  return passed ? 0 : 1;
}

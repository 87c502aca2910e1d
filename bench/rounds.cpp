// Measures the cost of the decision engine's rounds and statements by the number of stores, without
// I/O and with a simulated clock. Stores answer after a constant time. Every size runs the same
// scenarios; its costs are also printed relative to those of the smallest size. Costs are in
// instructions if the machine counts them, because CPU times are unreliable on shared cores.
#include <linux/perf_event.h>
#include <malloc.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <vector>

#include "decision/engine.h"

using namespace reedchute;

namespace {

constexpr Duration kTick{5'000};
// Runs of each size, in turn. The cheapest one counts, because the cores may be shared with other
// processes.
constexpr int kRepetitions = 3;

struct Scenario {
  const char* name;
  int groupSize;  // stores per group; 0: one group of all stores
  int proxies;
  double statementsPerSecond;
  int failedPercent;  // failed stores in each hundred
};

struct Cost {
  double round = 0, statement = 0,
         idleRound = 0;  // thousands of instructions, or microseconds of CPU time
  double bytes = 0;
  std::uint64_t sent = 0, probes = 0, rejected = 0;
};

// Descriptor of a counter of this process's instructions, or -1.
int instructionCounter = [] {
  perf_event_attr a{};
  a.type = PERF_TYPE_HARDWARE, a.size = sizeof a, a.config = PERF_COUNT_HW_INSTRUCTIONS;
  a.exclude_kernel = a.exclude_hv = 1;
  return static_cast<int>(syscall(SYS_perf_event_open, &a, 0, -1, -1, 0));
}();

// Cost of this process so far, in thousands of instructions or microseconds of CPU time.
double cpuCost() {
  std::uint64_t n = 0;
  if (instructionCounter >= 0 && read(instructionCounter, &n, sizeof n) == sizeof n)
    return static_cast<double>(n) / 1e3;
  timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}

// Drives a decision engine with simulated stores.
class Driver : public DecisionSink {
 public:
  Driver(const Scenario& scenario, int stores)
      : scenario_(scenario),
        groupSize_(scenario.groupSize ? scenario.groupSize : stores),
        engine(settings(scenario), now) {
    engine.beginSnapshot(true);
    for (int s = 0; s < stores; ++s)
      engine.addEndpoint({s, s / groupSize_, s % 3, EndpointStatus::up, isPrimary(s), 1, {}}, now);
    engine.endSnapshot(true);
    groupCount_ = (stores + groupSize_ - 1) / groupSize_;
  }
  static EngineSettings settings(const Scenario& scenario) {
    Workload any, near, write;
    any.slo = near.slo = write.slo = Duration{500'000};
    any.effect = near.effect = Effect::idempotent;
    near.level = Level::bounded, near.stalenessBound = Duration{400'000};
    write.level = Level::write, write.effect = Effect::deduplicated,
    write.deduplicationWindow = Duration{3'000'000};
    EngineSettings t;
    t.seed = 7, t.proxyCount = scenario.proxies, t.maxAttempts = 6, t.tick = kTick,
    t.workloads = {any, near, write};
    t.allowsHedging = t.mayCancel = t.mayProbe = true, t.probeCost = 0.016;
    t.connectTimeout = Duration{250'000}, t.maxPollInterval = Duration{10'000'000};
    t.warmUpTime = Duration{16'000'000}, t.coldOverloadWindow = Duration{2'000'000},
    t.coldInitialShare = 0.27, t.coldOverloadMultiple = 2.5;
    return t;
  }
  bool isPrimary(int s) const { return s % groupSize_ == 0; }
  bool isFailed(int s) const { return s % 100 < scenario_.failedPercent && s % 7 != 0; }
  // Delivers all results that are due, each followed by a round, and then runs a round as the proxy
  // does on its tick.
  void step(bool withStatements) {
    now = now + kTick;
    for (pendingArrivals_ += withStatements ? scenario_.statementsPerSecond * kTick.seconds() : 0;
         pendingArrivals_ >= 1; pendingArrivals_ -= 1)
      arrive();
    while (!pendingResults_.empty() && pendingResults_.front().at <= now) {
      PendingResult d = pendingResults_.front();
      pendingResults_.pop_front();
      if (d.statement < 0) {
        ReplicaReport r;
        r.position = now - Duration{20'000}, r.primary = isPrimary(d.store);
        engine.onProbeEnded(d.store, !isFailed(d.store), isFailed(d.store) ? ReplicaReport{} : r,
                            now);
      } else {
        AttemptResult r;
        bool open = isOpen_[static_cast<std::size_t>(d.statement)];
        r.attempt = d.attempt, r.elapsed = Duration{10'000},
        r.outcome = isFailed(d.store) ? AttemptOutcome::connectFailed : AttemptOutcome::ok;
        if (!isFailed(d.store)) r.role = isPrimary(d.store) ? Role::primary : Role::replica;
        r.closed = !open || r.outcome == AttemptOutcome::ok;
        isOpen_[static_cast<std::size_t>(d.statement)] = !r.closed;
        engine.onAttemptEnded(d.statement, r, now);
        if (r.closed && --pendingAttempts_[static_cast<std::size_t>(d.statement)] == 0)
          freeIndices_.push_back(d.statement);
        if (!r.closed) --pendingAttempts_[static_cast<std::size_t>(d.statement)];
      }
      // Results arrive one at a time, and each one triggers a round.
      round();
    }
    engine.onWake();
    round();
    freeIndices_.swap(nextFreeIndices_),
        freeIndices_.insert(freeIndices_.end(), nextFreeIndices_.begin(), nextFreeIndices_.end()),
        nextFreeIndices_.clear();
  }
  void round() { ++rounds, engine.decide(now, *this); }
  void arrive() {
    int statement = static_cast<int>(isOpen_.size());
    if (freeIndices_.empty())
      isOpen_.push_back(1), pendingAttempts_.push_back(0), attemptCounts_.push_back(0);
    else
      statement = freeIndices_.back(), freeIndices_.pop_back();
    isOpen_[static_cast<std::size_t>(statement)] = 1,
    pendingAttempts_[static_cast<std::size_t>(statement)] = 0,
    attemptCounts_[static_cast<std::size_t>(statement)] = 0;
    Arrival a;
    a.workload = static_cast<int>(arrived % 3),
    a.group = static_cast<int>(arrived % static_cast<std::uint64_t>(groupCount_));
    a.giveUpAt = now + Duration{1'500'000};
    ++arrived;
    engine.onStatementArrived(statement, a, now);
    round();
  }
  void closeStatement(int statement) {
    isOpen_[static_cast<std::size_t>(statement)] = 0, ++rejected;
    if (pendingAttempts_[static_cast<std::size_t>(statement)] == 0)
      freeIndices_.push_back(statement);
  }

  void send(int statement, int store, TimePoint, TimePoint) override {
    ++sent, ++pendingAttempts_[static_cast<std::size_t>(statement)];
    schedule({now + Duration{10'000}, statement, store,
              attemptCounts_[static_cast<std::size_t>(statement)]++});
  }
  void probe(int store) override { ++probes, schedule({now + Duration{10'000}, -1, store, 0}); }
  void cancel(int, int) override {}
  void reject(int statement, Duration) override { closeStatement(statement); }
  void abort(int statement) override { closeStatement(statement); }
  void release(int) override {}
  void pollEndpoints() override {}
  void wake(Duration) override {}

  TimePoint now{1'000'000'000'000};
  std::uint64_t rounds = 0, arrived = 0, sent = 0, probes = 0, rejected = 0;

 private:
  struct PendingResult {
    TimePoint at;
    int statement, store, attempt;
  };
  void schedule(PendingResult d) { pendingResults_.push_back(d); }

  Scenario scenario_;
  int groupSize_, groupCount_ = 1;
  double pendingArrivals_ = 0;
  std::deque<PendingResult> pendingResults_;
  std::vector<char> isOpen_;
  std::vector<int> pendingAttempts_, attemptCounts_, freeIndices_, nextFreeIndices_;

 public:
  DecisionEngine engine;
};

Cost measure(const Scenario& scenario, int stores) {
  std::size_t before = mallinfo2().uordblks;
  Driver d(scenario, stores);
  for (int n = 0; n < 1000; ++n) d.step(true);
  Cost c;
  c.bytes = static_cast<double>(mallinfo2().uordblks - before);
  std::uint64_t rounds = d.rounds, arrived = d.arrived, sent = d.sent, probes = d.probes,
                rejected = d.rejected;
  double startCost = cpuCost();
  for (int n = 0; n < 1000; ++n) d.step(true);
  double cost = cpuCost() - startCost;
  c.round = cost / static_cast<double>(d.rounds - rounds),
  c.statement = cost / static_cast<double>(d.arrived - arrived);
  c.sent = d.sent - sent, c.probes = d.probes - probes, c.rejected = d.rejected - rejected;
  for (int n = 0; n < 400; ++n) d.step(false);
  rounds = d.rounds, startCost = cpuCost();
  for (int n = 0; n < 1000; ++n) d.step(false);
  c.idleRound = (cpuCost() - startCost) / static_cast<double>(d.rounds - rounds);
  return c;
}

}  // namespace

// With the arguments PLAY STORES STEPS, only that scenario runs, for use with a tool that counts
// instructions: the cost of some steps is the difference of two runs.
int main(int argc, char** argv) {
  const Scenario scenarios[] = {{"one group", 0, 1, 300, 0},
                                {"groups of ten", 10, 1, 300, 0},
                                {"groups of ten, 300 fronts", 10, 300, 300, 0},
                                {"one group, 300 fronts", 0, 300, 300, 0},
                                {"one group, a fifth away", 0, 1, 300, 20}};
  if (argc == 4) {
    Driver d(scenarios[std::atoi(argv[1])], std::atoi(argv[2]));
    for (int n = 0; n < std::atoi(argv[3]); ++n) d.step(true);
    std::printf("%s: %llu statements, %llu rounds\n", scenarios[std::atoi(argv[1])].name,
                static_cast<unsigned long long>(d.arrived),
                static_cast<unsigned long long>(d.rounds));
    return 0;
  }
  std::printf("in %s; then in relation to 100 stores\n",
              instructionCounter >= 0 ? "thousands of instructions" : "microseconds");
  std::printf(
      "play,stores,round,statement,idle_round,bytes_a_store,sent,probes,refused,round,statement,"
      "idle_round\n");
  for (const Scenario& scenario : scenarios) {
    std::map<int, Cost> lowestCosts;
    for (int k = 0; k < kRepetitions; ++k)
      for (int stores : {100, 300, 1024}) {
        Cost c = measure(scenario, stores);
        if (k == 0 || c.statement < lowestCosts[stores].statement) lowestCosts[stores] = c;
      }
    Cost baseline = lowestCosts[100];
    for (const auto& [stores, c] : lowestCosts) {
      std::printf("%s,%d,%.2f,%.1f,%.2f,%.0f,%llu,%llu,%llu,%.2f,%.2f,%.2f\n", scenario.name,
                  stores, c.round, c.statement, c.idleRound, c.bytes / stores,
                  static_cast<unsigned long long>(c.sent),
                  static_cast<unsigned long long>(c.probes),
                  static_cast<unsigned long long>(c.rejected), c.round / baseline.round,
                  c.statement / baseline.statement, c.idleRound / baseline.idleRound);
      std::fflush(stdout);
    }
  }
}

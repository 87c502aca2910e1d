// Measures what rounds and decisions of the module cost, by the number of stores: no I/O, a clock
// of its own. Stores answer after a usual time; each size is played the same way and told in
// relation to the first one. Where the machine counts instructions these are told; cores that
// others share make times of little use beside them.
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
constexpr int kOften =
    3;  // plays of each size, in turn; the cheapest counts, as others share the cores

struct Play {
  const char* name;
  int groupSize;  // stores of a group; 0: all in one
  int fronts;
  double statements;  // a second
  int dead;           // of each hundred stores
};

struct Cost {
  double round = 0, statement = 0, idle = 0;  // thousands of instructions, or microseconds
  double bytes = 0;
  std::uint64_t sent = 0, probes = 0, refused = 0;
};

// Instructions of this process, or -1.
int counter = [] {
  perf_event_attr a{};
  a.type = PERF_TYPE_HARDWARE, a.size = sizeof a, a.config = PERF_COUNT_HW_INSTRUCTIONS;
  a.exclude_kernel = a.exclude_hv = 1;
  return static_cast<int>(syscall(SYS_perf_event_open, &a, 0, -1, -1, 0));
}();

double cpu() {
  std::uint64_t n = 0;
  if (counter >= 0 && read(counter, &n, sizeof n) == sizeof n) return static_cast<double>(n) / 1e3;
  timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}

class Driver : public DecisionSink {
 public:
  Driver(const Play& play, int stores)
      : play_(play), size_(play.groupSize ? play.groupSize : stores), engine(terms(play), now) {
    engine.beginSnapshot(true);
    for (int s = 0; s < stores; ++s)
      engine.addEndpoint({s, s / size_, s % 3, EndpointStatus::up, isPrimary(s), 1, {}}, now);
    engine.endSnapshot(true);
    groups_ = (stores + size_ - 1) / size_;
  }
  static EngineSettings terms(const Play& play) {
    Workload any, near, write;
    any.slo = near.slo = write.slo = Duration{500'000};
    any.effect = near.effect = Effect::idempotent;
    near.level = Level::bounded, near.stalenessBound = Duration{400'000};
    write.level = Level::write, write.effect = Effect::deduplicated,
    write.deduplicationWindow = Duration{3'000'000};
    EngineSettings t;
    t.seed = 7, t.proxyCount = play.fronts, t.maxAttempts = 6, t.tick = kTick,
    t.workloads = {any, near, write};
    t.allowsHedging = t.mayCancel = t.mayProbe = true, t.probeCost = 0.016;
    t.connectTimeout = Duration{250'000}, t.maxPollInterval = Duration{10'000'000};
    t.warmUpTime = Duration{16'000'000}, t.coldOverloadWindow = Duration{2'000'000},
    t.coldInitialShare = 0.27, t.coldOverloadMultiple = 2.5;
    return t;
  }
  bool isPrimary(int s) const { return s % size_ == 0; }
  bool isDead(int s) const { return s % 100 < play_.dead && s % 7 != 0; }
  // All that is due, then a round, as the front has it.
  void step(bool statements) {
    now = now + kTick;
    for (owed_ += statements ? play_.statements * kTick.seconds() : 0; owed_ >= 1; owed_ -= 1)
      arrive();
    while (!due_.empty() && due_.front().at <= now) {
      Due d = due_.front();
      due_.pop_front();
      if (d.statement < 0) {
        ReplicaReport r;
        r.position = now - Duration{20'000}, r.primary = isPrimary(d.store);
        engine.onProbeEnded(d.store, !isDead(d.store), isDead(d.store) ? ReplicaReport{} : r, now);
      } else {
        AttemptResult r;
        bool open = open_[static_cast<std::size_t>(d.statement)];
        r.attempt = d.execution, r.elapsed = Duration{10'000},
        r.outcome = isDead(d.store) ? AttemptOutcome::connectFailed : AttemptOutcome::ok;
        if (!isDead(d.store)) r.role = isPrimary(d.store) ? Role::primary : Role::replica;
        r.closed = !open || r.outcome == AttemptOutcome::ok;
        open_[static_cast<std::size_t>(d.statement)] = !r.closed;
        engine.onAttemptEnded(d.statement, r, now);
        if (r.closed && --out_[static_cast<std::size_t>(d.statement)] == 0)
          free_.push_back(d.statement);
        if (!r.closed) --out_[static_cast<std::size_t>(d.statement)];
      }
      // Facts come one by one: each has a round of its own.
      round();
    }
    engine.onWake();
    round();
    free_.swap(next_), free_.insert(free_.end(), next_.begin(), next_.end()), next_.clear();
  }
  void round() { ++rounds, engine.decide(now, *this); }
  void arrive() {
    int statement = static_cast<int>(open_.size());
    if (free_.empty())
      open_.push_back(1), out_.push_back(0), times_.push_back(0);
    else
      statement = free_.back(), free_.pop_back();
    open_[static_cast<std::size_t>(statement)] = 1, out_[static_cast<std::size_t>(statement)] = 0,
    times_[static_cast<std::size_t>(statement)] = 0;
    Arrival a;
    a.workload = static_cast<int>(taken % 3),
    a.group = static_cast<int>(taken % static_cast<std::uint64_t>(groups_));
    a.giveUpAt = now + Duration{1'500'000};
    ++taken;
    engine.onStatementArrived(statement, a, now);
    round();
  }
  void closes(int statement) {
    open_[static_cast<std::size_t>(statement)] = 0, ++refused;
    if (out_[static_cast<std::size_t>(statement)] == 0) free_.push_back(statement);
  }

  void send(int statement, int store, TimePoint, TimePoint) override {
    ++sent, ++out_[static_cast<std::size_t>(statement)];
    later(
        {now + Duration{10'000}, statement, store, times_[static_cast<std::size_t>(statement)]++});
  }
  void probe(int store) override { ++probes, later({now + Duration{10'000}, -1, store, 0}); }
  void cancel(int, int) override {}
  void reject(int statement, Duration) override { closes(statement); }
  void abort(int statement) override { closes(statement); }
  void release(int) override {}
  void pollEndpoints() override {}
  void wake(Duration) override {}

  TimePoint now{1'000'000'000'000};
  std::uint64_t rounds = 0, taken = 0, sent = 0, probes = 0, refused = 0;

 private:
  struct Due {
    TimePoint at;
    int statement, store, execution;
  };
  void later(Due d) { due_.push_back(d); }

  Play play_;
  int size_, groups_ = 1;
  double owed_ = 0;
  std::deque<Due> due_;
  std::vector<char> open_;
  std::vector<int> out_, times_, free_, next_;

 public:
  DecisionEngine engine;
};

Cost measure(const Play& play, int stores) {
  std::size_t before = mallinfo2().uordblks;
  Driver d(play, stores);
  for (int n = 0; n < 1000; ++n) d.step(true);
  Cost c;
  c.bytes = static_cast<double>(mallinfo2().uordblks - before);
  std::uint64_t rounds = d.rounds, taken = d.taken, sent = d.sent, probes = d.probes,
                refused = d.refused;
  double from = cpu();
  for (int n = 0; n < 1000; ++n) d.step(true);
  double took = cpu() - from;
  c.round = took / static_cast<double>(d.rounds - rounds),
  c.statement = took / static_cast<double>(d.taken - taken);
  c.sent = d.sent - sent, c.probes = d.probes - probes, c.refused = d.refused - refused;
  for (int n = 0; n < 400; ++n) d.step(false);
  rounds = d.rounds, from = cpu();
  for (int n = 0; n < 1000; ++n) d.step(false);
  c.idle = (cpu() - from) / static_cast<double>(d.rounds - rounds);
  return c;
}

}  // namespace

// With PLAY STORES STEPS: that one alone, for a tool that counts instructions (the difference of
// two numbers of steps).
int main(int argc, char** argv) {
  const Play plays[] = {{"one group", 0, 1, 300, 0},
                        {"groups of ten", 10, 1, 300, 0},
                        {"groups of ten, 300 fronts", 10, 300, 300, 0},
                        {"one group, 300 fronts", 0, 300, 300, 0},
                        {"one group, a fifth away", 0, 1, 300, 20}};
  if (argc == 4) {
    Driver d(plays[std::atoi(argv[1])], std::atoi(argv[2]));
    for (int n = 0; n < std::atoi(argv[3]); ++n) d.step(true);
    std::printf("%s: %llu statements, %llu rounds\n", plays[std::atoi(argv[1])].name,
                static_cast<unsigned long long>(d.taken),
                static_cast<unsigned long long>(d.rounds));
    return 0;
  }
  std::printf("in %s; then in relation to 100 stores\n",
              counter >= 0 ? "thousands of instructions" : "microseconds");
  std::printf(
      "play,stores,round,statement,idle_round,bytes_a_store,sent,probes,refused,round,statement,"
      "idle_round\n");
  for (const Play& play : plays) {
    std::map<int, Cost> best;
    for (int k = 0; k < kOften; ++k)
      for (int stores : {100, 300, 1024}) {
        Cost c = measure(play, stores);
        if (k == 0 || c.statement < best[stores].statement) best[stores] = c;
      }
    Cost first = best[100];
    for (const auto& [stores, c] : best) {
      std::printf(
          "%s,%d,%.2f,%.1f,%.2f,%.0f,%llu,%llu,%llu,%.2f,%.2f,%.2f\n", play.name, stores, c.round,
          c.statement, c.idle, c.bytes / stores, static_cast<unsigned long long>(c.sent),
          static_cast<unsigned long long>(c.probes), static_cast<unsigned long long>(c.refused),
          c.round / first.round, c.statement / first.statement, c.idle / first.idle);
      std::fflush(stdout);
    }
  }
}

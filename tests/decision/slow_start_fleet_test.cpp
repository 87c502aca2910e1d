// What a whole fleet sends to cold stores, each process deciding alone: engines before simulated
// stores of limited capacity, under demands that the engines know nothing of.
//   slow_start_fleet SCENARIO [SEEDS [TERMS]]
// Prints for each seed the most that a cold store got in any window, as a fraction of what it bears
// by its own capacity, its part of the share that its warmth entitles it to, and its part of what
// it could execute. The exit code is 1 if the first exceeds 1 or another is below the scenario's
// minimum. TERMS names the settings' terms of cold stores.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "trace.h"

using namespace reedchute;
using namespace reedchute::test;

namespace {

constexpr double kTick = 0.005, kLightWork = 0.05;  // seconds
constexpr double kConnectTimeout = 0.25;            // seconds
constexpr double kStartAt = 24;                     // when stores come back, in seconds
constexpr int kMembers = 6;

// What a deployment's settings say of cold stores.
struct Terms {
  const char* name;
  double initialShare;  // of its capacity, as it starts
  double multiple;      // of what it can do, at which it falls over
  double warmUp;        // seconds
  double window;        // seconds
};

const Terms kTerms[] = {{"standard", 0.27, 2.5, 16, 2},      {"shortWindow", 0.26, 2.5, 16, 1},
                        {"longWindow", 0.16, 2.5, 16, 3},    {"lowStart", 0.16, 2.5, 16, 1.5},
                        {"largeMultiple", 0.21, 4, 18, 1.5}, {"tripleInSecond", 0.17, 3, 18, 1}};
const Terms* terms = &kTerms[0];

struct Scenario {
  const char* name;
  int fronts = 39;
  double statementsPerSecond = 7;  // of a front
  double load = 0.7;               // of the capacity of all stores
  double burst = 1;                // factor of the demand, from `burstAt` s after the start on
  double burstAt = 0.5;
  double quiet = 1;  // factor of the demand in the time `quietFor` before the burst
  double quietFor = 6;
  double before = 1;  // factor of the demand before that
  int repeats = 0;    // how often a client sends a rejected statement again, at once
  double heavyShare = 0;
  double heavyWork = 1;  // statements of light work
  double writeShare = 0.1;
  std::vector<int> cold = {3, 4};  // members that start cold; member 0 is the primary
  std::vector<int> drained = {};   // members that drain as the others start
  std::vector<int> gone = {};      // members that die then, and are not listed as gone
  int restartedFronts = 0;         // that lose all they know 2 s after the start
  double startsAgainAt = 0;        // s after the start, the first cold member
  bool isUneven = false;           // one front in ten has six times the traffic
  bool isUnlisted = false;         // the list doesn't contain the start; connections are refused
  bool stepsClocks = false;        // wall clocks of every second front are stepped
  bool hasHedges = true;
  double coldSpeed = 1;     // of the cold members, in speeds of the others
  bool isCut = false;       // for 6 s around the start, a front reaches only half the members
  double listDelay = 0;     // s until a restarted front is told of starts
  bool isFlooded = false;   // warm stores refuse most of what they are sent: only executions count
  double leastShare = 0.4;  // of its warmth times the mean work of a warm member
  double leastUsed = 0;     // of what a cold store can execute, where no warm one compares
};

const Scenario kScenarios[] = {
    {.name = "steady"},
    {.name = "overload", .burst = 4},
    {.name = "repeatsAtOnce", .burst = 3, .repeats = 20},
    {.name = "largeBurst", .burst = 8, .burstAt = 4, .repeats = 8},
    {.name = "heavyStatements", .burst = 1.5, .heavyShare = 0.02, .heavyWork = 8},
    {.name = "heaviestStatements", .burst = 1.5, .heavyShare = 0.02, .heavyWork = 40},
    {.name = "heavyRepeats", .burst = 2, .repeats = 4, .heavyShare = 0.1, .heavyWork = 20},
    {.name = "quietBeforeBurst", .burst = 3, .burstAt = 6, .quiet = 0.1, .repeats = 2},
    {.name = "fewFronts", .fronts = 4, .statementsPerSecond = 60, .burst = 2, .repeats = 2},
    {.name = "manyFronts", .fronts = 350, .statementsPerSecond = 0.5, .burst = 2, .repeats = 2},
    {.name = "manyFrontsQuiet",
     .fronts = 350,
     .statementsPerSecond = 0.5,
     .burst = 4,
     .burstAt = 7,
     .quiet = 0.05,
     .repeats = 2},
    {.name = "unevenFronts", .burst = 2, .repeats = 2, .isUneven = true},
    {.name = "frontsRestart", .burst = 2, .repeats = 2, .restartedFronts = 27},
    {.name = "startsTwice", .burst = 2, .repeats = 2, .startsAgainAt = 3},
    {.name = "coldPrimary", .burst = 2, .repeats = 2, .writeShare = 0.3, .cold = {0, 3}},
    {.name = "manyFrontsColdPrimary",
     .fronts = 350,
     .statementsPerSecond = 0.5,
     .writeShare = 0.3,
     .cold = {0, 3}},
    {.name = "manyFrontsQuietPrimary",
     .fronts = 350,
     .statementsPerSecond = 0.5,
     .burst = 4,
     .burstAt = 7,
     .quiet = 0.05,
     .repeats = 2,
     .writeShare = 0.3,
     .cold = {0, 3}},
    {.name = "quietAfterOverload",
     .fronts = 350,
     .statementsPerSecond = 0.5,
     .burst = 8,
     .burstAt = 5,
     .quiet = 0.05,
     .before = 3,
     .repeats = 4},
    {.name = "quietPrimary",
     .fronts = 350,
     .statementsPerSecond = 0.5,
     .burst = 8,
     .burstAt = 5,
     .quiet = 0.05,
     .before = 3,
     .repeats = 4,
     .writeShare = 0.3,
     .cold = {0, 3}},
    {.name = "writesAlone", .load = 0.15, .burst = 2, .repeats = 2, .writeShare = 1, .cold = {0}},
    {.name = "writesAloneServed",
     .load = 0.15,
     .burst = 2,
     .repeats = 2,
     .writeShare = 1,
     .cold = {0},
     .leastUsed = 0.4},
    {.name = "membersDrain", .burst = 1.5, .repeats = 2, .drained = {1, 5}},
    {.name = "membersGo", .burst = 1.5, .repeats = 2, .gone = {1, 5}},
    {.name = "allCold", .burst = 1.5, .repeats = 2, .cold = {0, 1, 2, 3, 4, 5}, .leastShare = 0},
    {.name = "startUnlisted", .burst = 2, .repeats = 2, .isUnlisted = true},
    {.name = "clocksStep", .burst = 2, .repeats = 2, .stepsClocks = true},
    {.name = "slowColdMembers", .burst = 2, .repeats = 2, .coldSpeed = 0.65},
    {.name = "slowColdMembersOverload", .burst = 4, .repeats = 8, .coldSpeed = 0.65},
    {.name = "zonesCut", .burst = 2, .repeats = 2, .isCut = true},
    {.name = "zonesCutOverload", .load = 1.2, .burst = 3, .repeats = 8, .isCut = true},
    {.name = "frontsRestartUntold",
     .burst = 2,
     .repeats = 2,
     .restartedFronts = 27,
     .listDelay = 0.5},
    {.name = "longQuiet",
     .fronts = 350,
     .statementsPerSecond = 0.5,
     .burst = 8,
     .burstAt = 11,
     .quiet = 0.02,
     .quietFor = 12,
     .before = 3,
     .repeats = 4},
    {.name = "longQuietPrimary",
     .fronts = 350,
     .statementsPerSecond = 0.5,
     .burst = 8,
     .burstAt = 11,
     .quiet = 0.02,
     .quietFor = 12,
     .before = 3,
     .repeats = 4,
     .writeShare = 0.3,
     .cold = {0, 3}},
    {.name = "longQuietMediumFleet",
     .fronts = 120,
     .statementsPerSecond = 1.5,
     .burst = 8,
     .burstAt = 8,
     .quiet = 0.02,
     .quietFor = 9,
     .before = 3,
     .repeats = 4},
    {.name = "largeStores", .statementsPerSecond = 50, .burst = 4, .repeats = 4, .isUneven = true},
    {.name = "largeStoresSlowCold",
     .statementsPerSecond = 50,
     .burst = 4,
     .repeats = 4,
     .coldSpeed = 0.65},
    {.name = "largeStoresCut",
     .statementsPerSecond = 50,
     .load = 1.2,
     .burst = 3,
     .repeats = 4,
     .isCut = true},
    {.name = "hugeFleet", .fronts = 900, .statementsPerSecond = 0.3, .burst = 4, .repeats = 2},
    {.name = "hugeFleetQuiet",
     .fronts = 900,
     .statementsPerSecond = 0.2,
     .burst = 8,
     .burstAt = 5,
     .quiet = 0.05,
     .before = 3,
     .repeats = 4},
    {.name = "hugeLightFleet",
     .fronts = 900,
     .statementsPerSecond = 0.05,
     .burst = 10,
     .repeats = 4,
     .isFlooded = true},
    // Several troubles at once.
    {.name = "restartsInOverload",
     .burst = 4,
     .repeats = 8,
     .heavyShare = 0.05,
     .heavyWork = 10,
     .restartedFronts = 27,
     .startsAgainAt = 3,
     .stepsClocks = true},
    {.name = "cutUnlistedOverload",
     .load = 1.2,
     .burst = 3,
     .repeats = 8,
     .isUnlisted = true,
     .isCut = true},
    {.name = "membersGoHeavyOverload",
     .burst = 4,
     .repeats = 8,
     .heavyShare = 0.05,
     .heavyWork = 10,
     .gone = {1, 5},
     .startsAgainAt = 4},
    {.name = "primaryTwiceHeavyRestarts",
     .burst = 3,
     .repeats = 8,
     .heavyShare = 0.1,
     .heavyWork = 20,
     .writeShare = 0.3,
     .cold = {0, 3},
     .restartedFronts = 13,
     .startsAgainAt = 5},
    {.name = "slowColdHeavyCut",
     .burst = 3,
     .repeats = 8,
     .heavyShare = 0.05,
     .heavyWork = 10,
     .coldSpeed = 0.65,
     .isCut = true},
    {.name = "quietUnevenRestarts",
     .fronts = 120,
     .statementsPerSecond = 1.5,
     .burst = 8,
     .burstAt = 8,
     .quiet = 0.02,
     .before = 3,
     .repeats = 4,
     .restartedFronts = 60,
     .startsAgainAt = 3,
     .isUneven = true},
    {.name = "quietSlowColdMembers",
     .burst = 8,
     .burstAt = 6,
     .quiet = 0.05,
     .repeats = 4,
     .coldSpeed = 0.65},
    {.name = "manyFrontsQuietRestartUntold",
     .fronts = 350,
     .statementsPerSecond = 0.5,
     .burst = 8,
     .burstAt = 5,
     .quiet = 0.05,
     .before = 3,
     .repeats = 4,
     .restartedFronts = 175,
     .startsAgainAt = 3,
     .listDelay = 0.5},
};

constexpr int kLight = 0, kHeavy = 1, kWrite = 2;

EngineSettings settingsOf(const Scenario& scenario, int seed) {
  Workload light = Bench::work(Level::any);
  Workload heavy = Bench::work(Level::any);
  Workload write = Bench::work(Level::write, Effect::deduplicated);
  light.slo = ms(500), heavy.slo = ms(3000), write.slo = ms(600);
  EngineSettings t = Bench::terms({light, heavy, write}, scenario.fronts, seed);
  t.warmUpTime = ms(terms->warmUp * 1000), t.coldOverloadWindow = ms(terms->window * 1000);
  t.coldInitialShare = terms->initialShare, t.coldOverloadMultiple = terms->multiple;
  t.allowsHedging = scenario.hasHedges;
  return t;
}

struct Sent {
  int front = -1, life = 0, statement = -1, attempt = 0, workload = kLight;
  double at = 0, doneAt = 0;
  bool isReached = true;
};

class Store {
 public:
  Store(double statementsPerSecond, double meanWork)
      : capacity(statementsPerSecond),
        workers_(std::max(1, static_cast<int>(std::lround(statementsPerSecond * meanWork)))),
        speed_(statementsPerSecond * meanWork / workers_),
        busyUntil_(static_cast<std::size_t>(workers_), 0.0) {}

  double capacity;  // statements of mean work per second, once it is warm
  bool isDown = false;
  double startedAt = -terms->warmUp;
  std::vector<std::pair<double, double>> arrivals;    // time, work in seconds
  std::vector<std::pair<double, double>> executions;  // those that weren't refused

  double warmth(double now) const {
    double age = std::clamp((now - startedAt) / terms->warmUp, 0.0, 1.0);
    return terms->initialShare + (1 - terms->initialShare) * age;
  }
  // Returns when the attempt will have been executed, or a negative number if it is refused.
  double execute(double work, double now) {
    arrivals.emplace_back(now, work);
    auto worker = std::min_element(busyUntil_.begin(), busyUntil_.end());
    if (*worker > now + kMaxWait) return -1;
    executions.emplace_back(now, work);
    *worker = std::max(*worker, now) + work / speed_ / warmth(now);
    return *worker;
  }
  void restart(double now) {
    startedAt = now;
    std::fill(busyUntil_.begin(), busyUntil_.end(), now);
  }

 private:
  static constexpr double kMaxWait = 0.5;  // seconds
  int workers_;
  double speed_;
  std::vector<double> busyUntil_;
};

class Fleet;

// A front: an engine, whose attempts go to the stores of the fleet.
class Front : public DecisionSink {
 public:
  Front(Fleet& fleet, const Scenario& scenario, int number, int seed)
      : fleet_(fleet), scenario_(scenario), number_(number), random_(static_cast<unsigned>(seed)) {
    restart(seed);
  }

  void restart(int seed) {
    ++life_;
    statements_.clear();
    engine_ = std::make_unique<DecisionEngine>(settingsOf(scenario_, seed), clock());
    listAll();
  }
  void listAll();
  void listOne(int store, EndpointStatus status, bool hasStarted);
  void stepClock(Duration ahead) { engine_->onClockStepped(ahead); }
  bool chance(double share) { return drawUnit(random_) < share; }
  int drawWorkload() {
    if (chance(scenario_.writeShare)) return kWrite;
    return chance(scenario_.heavyShare) ? kHeavy : kLight;
  }
  void arrive(int workload, int repeatsLeft) {
    Arrival arrival;
    arrival.workload = workload, arrival.group = 0;
    arrival.giveUpAt = clock() + ms(workload == kHeavy ? 6000 : 1500);
    int id = static_cast<int>(statements_.size());
    statements_.push_back({workload, repeatsLeft});
    engine_->onStatementArrived(id, arrival, clock());
  }
  void end(const Sent& sent, AttemptOutcome outcome, Role role);
  void round() {
    engine_->onWake();
    engine_->decide(clock(), *this);
    for (auto [workload, repeatsLeft] : std::exchange(again_, {})) arrive(workload, repeatsLeft);
    for (int store : std::exchange(probed_, {})) endProbe(store);
  }
  int life() const { return life_; }

  void send(int statement, int store, TimePoint stopAt, TimePoint sendBy) override;
  void cancel(int, int) override {}
  void reject(int statement, Duration) override {
    const Statement& rejected = statements_[static_cast<std::size_t>(statement)];
    if (rejected.repeatsLeft > 0) again_.emplace_back(rejected.workload, rejected.repeatsLeft - 1);
  }
  void abort(int) override {}
  void probe(int store) override { probed_.push_back(store); }
  void release(int) override {}
  void pollEndpoints() override {}
  void wake(Duration) override {}

 private:
  struct Statement {
    int workload = kLight;
    int repeatsLeft = 0;
    int attempts = 0;
  };

  TimePoint clock() const;
  void endProbe(int store);

  Fleet& fleet_;
  const Scenario& scenario_;
  int number_, life_ = 0;
  RandomSource random_;
  std::unique_ptr<DecisionEngine> engine_;
  std::deque<Statement> statements_;
  std::vector<std::pair<int, int>> again_;
  std::vector<int> probed_;
};

class Fleet {
 public:
  Fleet(const Scenario& scenario, int seed) : scenario_(scenario) {
    double meanWork = kLightWork * (1 - scenario.heavyShare * (1 - scenario.writeShare) *
                                            (1 - scenario.heavyWork));
    double demand = scenario.fronts * scenario.statementsPerSecond;
    capacity_ = demand / scenario.load / kMembers;
    meanWork_ = meanWork;
    for (int store = 0; store < kMembers; ++store) {
      double speed = isOneOf(store, scenario.cold) ? scenario.coldSpeed : 1;
      stores.emplace_back(capacity_ * speed, meanWork);
    }
    for (int front = 0; front < scenario.fronts; ++front) {
      fronts_.push_back(std::make_unique<Front>(*this, scenario, front, seed * 1000 + front));
    }
  }

  void run() {
    for (; now < kStartAt + terms->warmUp; now += kTick) {
      changeStores();
      deliver();
      for (std::size_t front = 0; front < fronts_.size(); ++front) {
        double expected = rateOf(static_cast<int>(front)) * kTick;
        for (; fronts_[front]->chance(expected); expected -= 1)
          fronts_[front]->arrive(fronts_[front]->drawWorkload(), scenario_.repeats);
        fronts_[front]->round();
      }
    }
  }

  double workOf(int workload) const {
    return workload == kHeavy ? kLightWork * scenario_.heavyWork : kLightWork;
  }
  void send(const Sent& sent, int store) {
    Store& target = stores[static_cast<std::size_t>(store)];
    Sent pending = sent;
    pending.isReached = !target.isDown && reaches(sent.front, store);
    if (pending.isReached) pending.doneAt = target.execute(workOf(sent.workload), now);
    if (!target.isDown && !pending.isReached) pending.doneAt = now + kConnectTimeout;
    pending_.push_back({pending, store});
  }

  bool reaches(int front, int store) const {
    bool isCutNow = scenario_.isCut && now >= kStartAt - 4 && now < kStartAt + 2;
    return !isCutNow || front % 2 == store % 2;
  }

  // The most that a cold store got in a window, as a fraction of what it bears.
  double worstLoad() const {
    double worst = 0;
    for (int index : scenario_.cold) {
      const Store& store = stores[static_cast<std::size_t>(index)];
      double sum = 0;
      std::size_t first = 0;
      for (const auto& [at, work] : store.arrivals) {
        if (at < kStartAt) {
          ++first;
          continue;
        }
        sum += work;
        while (store.arrivals[first].first <= at - terms->window)
          sum -= store.arrivals[first++].second;
        double from = std::max(at - terms->window, kStartAt);
        if (at >= store.startedAt + terms->warmUp) continue;
        double start = at < store.startedAt ? kStartAt : store.startedAt;
        double age = std::max(0.0, from - start) / terms->warmUp;
        double warmth = terms->initialShare + (1 - terms->initialShare) * age;
        double n = terms->multiple * warmth * store.capacity * terms->window;
        double most = n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
        worst = std::max(worst, sum / meanWork_ / most);
      }
    }
    return worst;
  }
  // The least work that a cold store got, as a part of its warmth times that of a warm one.
  double leastShare() const {
    double warm = 0, least = 100;
    int warmStores = 0;
    for (int index = 0; index < kMembers; ++index) {
      if (isOneOf(index, scenario_.cold) || isOneOf(index, scenario_.drained) ||
          isOneOf(index, scenario_.gone) || index == 0)
        continue;
      ++warmStores, warm += receivedSince(index, kStartAt + 1);
    }
    for (int index : scenario_.cold) {
      double warmth = (1 + terms->initialShare) / 2;
      least = std::min(
          least, receivedSince(index, kStartAt + 1) / (warmth * warm / std::max(1, warmStores)));
    }
    return warmStores > 0 ? least : 1;
  }

  // The least work that a cold store executed, as a part of what it could.
  double leastUsed() const {
    double least = 1;
    for (int index : scenario_.cold) {
      double warmth = (1 + terms->initialShare) / 2;
      double capacity = stores[static_cast<std::size_t>(index)].capacity * meanWork_;
      double most = warmth * capacity * (now - kStartAt - 1);
      least = std::min(least, executedSince(index, kStartAt + 1) / most);
    }
    return least;
  }

  const Scenario& scenario() const { return scenario_; }
  TimePoint clock() const { return TimePoint{1'000'000'000} + ms(now * 1000); }

  double now = 0;
  bool countsExecutions = true;  // by leastShare(), instead of all arrivals
  std::vector<Store> stores;

 private:
  struct Pending {
    Sent sent;
    int store = -1;
  };

  static bool isOneOf(int index, const std::vector<int>& all) {
    return std::find(all.begin(), all.end(), index) != all.end();
  }
  static double workSince(const std::vector<std::pair<double, double>>& attempts, double since) {
    double sum = 0;
    for (const auto& [at, work] : attempts)
      if (at >= since) sum += work;
    return sum;
  }
  double executedSince(int index, double since) const {
    return workSince(stores[static_cast<std::size_t>(index)].executions, since);
  }
  double receivedSince(int index, double since) const {
    const Store& store = stores[static_cast<std::size_t>(index)];
    return countsExecutions ? executedSince(index, since) : workSince(store.arrivals, since);
  }
  double rateOf(int front) const {
    double rate = scenario_.statementsPerSecond;
    if (scenario_.isUneven) rate *= front % 10 == 0 ? 4 : 2.0 / 3;
    double age = now - kStartAt;
    if (age >= scenario_.burstAt) return rate * scenario_.burst;
    return rate *
           (age >= scenario_.burstAt - scenario_.quietFor ? scenario_.quiet : scenario_.before);
  }
  bool passes(double at) const { return now >= at && now < at + kTick; }
  void startStores(const std::vector<int>& which) {
    for (int index : which) {
      Store& store = stores[static_cast<std::size_t>(index)];
      store.isDown = false;
      store.restart(now);
      if (scenario_.isUnlisted) continue;
      for (auto& front : fronts_) front->listOne(index, EndpointStatus::up, true);
    }
  }
  void changeStores() {
    if (passes(kStartAt - 1))
      for (int index : scenario_.cold) stores[static_cast<std::size_t>(index)].isDown = true;
    if (passes(kStartAt)) {
      startStores(scenario_.cold);
      for (int index : scenario_.gone) stores[static_cast<std::size_t>(index)].isDown = true;
      for (int index : scenario_.drained)
        for (auto& front : fronts_) front->listOne(index, EndpointStatus::draining, false);
    }
    if (scenario_.startsAgainAt > 0 && passes(kStartAt + scenario_.startsAgainAt))
      startStores({scenario_.cold.front()});
    if (passes(kStartAt + 2))
      for (int front = 0; front < scenario_.restartedFronts; ++front)
        fronts_[static_cast<std::size_t>(front)]->restart(front + 500'000);
    if (scenario_.listDelay > 0 && passes(kStartAt + 2 + scenario_.listDelay))
      for (int front = 0; front < scenario_.restartedFronts; ++front)
        for (int index : scenario_.cold)
          fronts_[static_cast<std::size_t>(front)]->listOne(index, EndpointStatus::up, true);
    if (scenario_.stepsClocks && (passes(kStartAt - 3) || passes(kStartAt + 1)))
      for (std::size_t front = 0; front < fronts_.size(); front += 2)
        fronts_[front]->stepClock(ms(front % 4 == 0 ? 3'600'000 : -3'600'000));
  }
  void deliver() {
    std::vector<Pending> ended;
    std::erase_if(pending_, [&](const Pending& pending) {
      if (pending.sent.doneAt > now) return false;
      ended.push_back(pending);
      return true;
    });
    for (const Pending& pending : ended) {
      Front& front = *fronts_[static_cast<std::size_t>(pending.sent.front)];
      if (front.life() != pending.sent.life) continue;
      bool isDown = stores[static_cast<std::size_t>(pending.store)].isDown;
      isDown |= !pending.sent.isReached;
      AttemptOutcome outcome = AttemptOutcome::ok;
      if (isDown)
        outcome = AttemptOutcome::connectFailed;
      else if (pending.sent.doneAt < 0)
        outcome = AttemptOutcome::overloaded;
      front.end(pending.sent, outcome, pending.store == 0 ? Role::primary : Role::replica);
    }
  }

  const Scenario scenario_;
  double capacity_ = 0;  // statements per second of a warm store
  double meanWork_ = 0;  // seconds
  std::vector<std::unique_ptr<Front>> fronts_;
  std::vector<Pending> pending_;
};

TimePoint Front::clock() const {
  return fleet_.clock();
}

void Front::listAll() {
  engine_->beginSnapshot(true);
  for (int store = 0; store < kMembers; ++store) {
    bool hasStarted = fleet_.stores[static_cast<std::size_t>(store)].startedAt > 0;
    bool isTold = life_ == 1 || scenario_.listDelay == 0;
    listOne(store, EndpointStatus::up, hasStarted && isTold && !scenario_.isUnlisted);
  }
  engine_->endSnapshot(true);
}

void Front::listOne(int store, EndpointStatus status, bool hasStarted) {
  EndpointInfo info;
  info.store = store, info.group = 0, info.zone = 0;
  info.listed = status, info.primary = store == 0;
  if (hasStarted)
    info.started =
        clock() -
        ms((fleet_.now - fleet_.stores[static_cast<std::size_t>(store)].startedAt) * 1000);
  engine_->addEndpoint(info, clock());
}

void Front::send(int statement, int store, TimePoint, TimePoint) {
  Statement& sent = statements_[static_cast<std::size_t>(statement)];
  fleet_.send({.front = number_,
               .life = life_,
               .statement = statement,
               .attempt = sent.attempts++,
               .workload = sent.workload,
               .at = fleet_.now},
              store);
}

void Front::end(const Sent& sent, AttemptOutcome outcome, Role role) {
  AttemptResult result;
  result.attempt = sent.attempt, result.outcome = outcome, result.role = role;
  result.elapsed = ms((fleet_.now - sent.at) * 1000);
  result.closed = outcome == AttemptOutcome::ok;
  engine_->onAttemptEnded(sent.statement, result, clock());
}

void Front::endProbe(int store) {
  bool isUp = !fleet_.stores[static_cast<std::size_t>(store)].isDown &&
              fleet_.reaches(number_, store);
  ReplicaReport report;
  if (isUp) report = {clock() - ms(10), store == 0};
  engine_->onProbeEnded(store, isUp, report, clock());
}

bool play(const Scenario& scenario, int seed) {
  Fleet fleet(scenario, seed);
  fleet.run();
  double worst = fleet.worstLoad(), share = fleet.leastShare();
  fleet.countsExecutions = false;
  if (!scenario.isFlooded) share = std::min(share, fleet.leastShare());
  double used = fleet.leastUsed();
  bool passed = worst <= 1 && share >= scenario.leastShare && used >= scenario.leastUsed;
  std::printf(
      "%-20s %s, seed %d: at most %.2f of what it bears, at least %.2f of its share, %.2f of "
      "what it can execute%s\n",
      scenario.name, terms->name, seed, worst, share, used, passed ? "" : "  FAILED");
  std::fflush(stdout);
  return passed;
}

}  // namespace

int main(int argc, char** argv) {
  int seeds = argc > 2 ? std::atoi(argv[2]) : 1;
  bool passed = argc > 1;
  if (argc > 3) {
    terms = std::find_if(std::begin(kTerms), std::end(kTerms),
                         [&](const Terms& known) { return !std::strcmp(known.name, argv[3]); });
    if (terms == std::end(kTerms)) return 1;
  }
  bool isKnown = false;
  for (const Scenario& scenario : kScenarios) {
    if (argc < 2 || (std::strcmp(argv[1], scenario.name) && std::strcmp(argv[1], "all"))) continue;
    isKnown = true;
    for (int seed = 1; seed <= seeds; ++seed) passed &= play(scenario, seed);
  }
  return passed && isKnown ? 0 : 1;
}

#include "decision/probe_scheduler.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "decision/indexed_array.h"
#include "decision/replica_selection.h"
#include "decision/store_modules.h"

namespace reedchute {
namespace {

constexpr double kShortestPace = 0.3;       // of the smallest bound, between two probes of a store
constexpr double kLongestPace = 10;         // smallest bounds between two probes of a wanted store
constexpr double kInitialReportAge = 0.25;  // of the smallest bound
constexpr double kReportAgeDrift = 0.01;    // by which the youngest report's age rises again
constexpr double kLagPace = 0.25;           // of a replica's lag: it can't be fresh much sooner
constexpr double kLagging = 1.5;        // times the oldest that a healthy replica's report can be
constexpr double kLikelyPeriod = 0.6;   // of the known period: closer reports tell no period
constexpr double kPeriodWeight = 0.1;   // of one sample in the period
constexpr double kProbeSpend = 0.06;    // of a read's worth: probes earned by each bounded read
constexpr double kMaxEarned = 4;        // probes that one read earns
constexpr double kMaxBudget = 16;       // probes
constexpr double kLead = 0.75;          // measured replicas wanted for each bounded read in flight
constexpr double kWaitingShare = 0.25;  // of a bounded read that waits, counted as in flight
constexpr double kSmallestCost = 1e-9;  // of a probe

}  // namespace

ProbeScheduler::ProbeScheduler(const EngineSettings& settings, const StoreModules& stores)
    : settings_(settings),
      stores_(stores),
      manyProxies_(stores.limits.isSharedByManyProxies()),
      smallestBound_(stores.statistics.smallestBound()),
      earnedPerRead_(
          std::min(kMaxEarned, kProbeSpend / std::max(settings.probeCost, kSmallestCost))),
      refreshPeriod_(smallestBound_),
      youngestReport_(smallestBound_ * kInitialReportAge) {}

void ProbeScheduler::reset(int store) {
  assignAt(isProbing_, store, char{0});
  for (auto* times : {&sentAt_, &dueAt_, &answeredAt_, &reportPosition_, &renewalAt_})
    assignAt(*times, store, kNever);
}

void ProbeScheduler::ensureGroup(int group) {
  ensureIndex(boundedReads_, group);
}

void ProbeScheduler::onStatementArrived(const StatementState& statement, bool isRetry,
                                        TimePoint now) {
  bool isBounded = settings_.workloads[statement.workload].level == Level::bounded;
  boundedReads_[statement.group].add(isBounded ? 1 : 0, stores_.rateMemory, now);
  if (isBounded && !isRetry) budget_ = std::min(kMaxBudget, budget_ + earnedPerRead_);
}

void ProbeScheduler::onProbeNotSent(int store, TimePoint now) {
  isProbing_[store] = 0;
  dueAt_[store] = now + smallestBound_ * kShortestPace;
}

// One probe whose connection broke tells nothing; a replica unseen for long would get no bounded
// reads.
void ProbeScheduler::onProbeFailed(int store, bool isUnreachable, TimePoint now) {
  dueAt_[store] = now + smallestBound_ * (isUnreachable ? kLongestPace : kShortestPace);
}

// Learns the steady pace at which reports are renewed, and the age that a report has at the
// earliest.
void ProbeScheduler::onReport(int store, TimePoint position, TimePoint now) {
  Duration age = now - position;
  if (age < smallestBound_) budget_ = std::min(kMaxBudget, budget_ + 1);
  TimePoint before = std::exchange(reportPosition_[store], position);
  TimePoint lastAnswered = std::exchange(answeredAt_[store], now);
  if (age >= reportAge() * kLagging) {
    deferByLag(store, age, refreshPeriod_, now);
    return;
  }
  if (position > before) {
    // The report was renewed after the last probe, and is renewed again a period later.
    TimePoint& renewal = renewalAt_[store];
    renewal = std::max(lastAnswered, now - refreshPeriod_) + refreshPeriod_;
    if (age < smallestBound_) {
      youngestReport_ = std::min(youngestReport_ * (1 + kReportAgeDrift), age);
      renewal = std::max(renewal,
                         position + refreshPeriod_ + youngestReport_ * (1 + kShortestPace));
      // Reports of a store that catches up or falls behind stand closer or further apart than they
      // are made.
      Duration gap = before > kNever ? position - before : refreshPeriod_;
      gap = gap * (1 / std::max(1.0, std::round(gap / refreshPeriod_)));
      if (gap > refreshPeriod_ * kLikelyPeriod)
        refreshPeriod_ = refreshPeriod_ + (gap - refreshPeriod_) * kPeriodWeight;
    }
  }
  // Probes at the reports' own pace may meet each one at its oldest and never see the replica
  // fresh.
  dueAt_[store] = std::max(now + smallestBound_ * kShortestPace, renewalAt_[store]);
}

void ProbeScheduler::onClockStepped(Duration older) {
  for (TimePoint& position : reportPosition_)
    if (position > kNever) position = position - older;
}

void ProbeScheduler::deferByLag(int store, Duration lag, Duration least, TimePoint now) {
  Duration pause = std::max(least, lag * kLagPace);
  dueAt_[store] = now + std::min(pause, smallestBound_ * kLongestPace);
}

void ProbeScheduler::deferLong(int store, TimePoint now) {
  dueAt_[store] = now + smallestBound_ * kLongestPace;
}

ProbeScheduler::Demand ProbeScheduler::demandOf(int group, const std::vector<int>& waiting,
                                                const std::vector<StatementState>& statements,
                                                TimePoint now) const {
  Demand demand;
  bool needsPrimary = false;
  for (int id : waiting) {
    const StatementState& statement = statements[id];
    Level level = settings_.workloads[statement.workload].level;
    if (level == Level::write || level == Level::fresh) needsPrimary = true;
    if (level != Level::bounded) continue;
    if (!demand.firstBounded) demand.firstBounded = &statement;
    demand.boundedReads += 1;
  }
  demand.searchesPrimary = needsPrimary && !stores_.hasUsablePrimary(group, now);
  return demand;
}

double ProbeScheduler::wantedReplicas(int group, const Demand& demand,
                                      const ReplicaSelection& selection, TimePoint now) const {
  if (settings_.storesRejectStaleReads || !demand.firstBounded) return 0;
  if (manyProxies_ && selection.primaryHasCapacity(group, *demand.firstBounded, now)) return 0;
  double arriving = boundedReads_[group].atLastUpdate() * smallestBound_.seconds();
  double wanted = 1 + kLead * (arriving + demand.boundedReads * kWaitingShare);
  return manyProxies_ ? std::floor(wanted) : wanted;
}

// A replica that was probed in vain just now counts too: where all stand at one commit, one probe
// is enough. With many proxies, one vain probe tells little of the next replica.
bool ProbeScheduler::isMeasured(int store, bool isPrimary, TimePoint now) const {
  if (isPrimary) return false;
  if (stores_.freshness.isWellWithinBounds(store, now)) return true;
  return !manyProxies_ && now - answeredAt_[store] < smallestBound_ * kShortestPace;
}

bool ProbeScheduler::isFirstProbe(int store) const {
  return !stores_.freshness.hasPosition(store) && !manyProxies_;
}

bool ProbeScheduler::isWorthProbing(int store, bool isPrimary, const Demand& demand,
                                    TimePoint now) const {
  if (demand.searchesPrimary || !stores_.freshness.hasPosition(store)) return true;
  return !isPrimary && !stores_.freshness.isWellWithinBounds(store, now) &&
         stores_.isUsable(store, now);
}

// How far behind a replica is taken to be, which says whose probe is the likeliest to help. A proxy
// with light traffic knows little of most; one that was never seen may be fresh, but not where it
// hosts long reads.
Duration ProbeScheduler::supposedLag(int store, bool isHost) const {
  if (!stores_.freshness.isDrainedForAllBounds(store)) return {};
  if (!manyProxies_) return smallestBound_;
  if (!stores_.freshness.hasPosition(store))
    return smallestBound_ * (isHost ? kLongestPace : kLagging);
  return answeredAt_[store] - stores_.freshness.position(store);
}

double ProbeScheduler::collectCandidates(int group, const Demand& demand,
                                         const ReplicaSelection& selection, const Round& round) {
  TimePoint now = round.now;
  int hosts = 0;
  if (manyProxies_ && stores_.statistics.hasLongReads())
    hosts = stores_.statistics.longReadStores(stores_.endpoints.groupSize(group));
  int hostRank = 0;
  double measured = 0;
  candidates_.clear();
  for (int store : stores_.endpoints.members(group)) {
    bool isPrimary = store == stores_.primaries.primary(group);
    // With many proxies most replicas have no room for one more read from here; fresh or not, they
    // are no help.
    bool helps = !manyProxies_ || !demand.firstBounded ||
                 selection.hasCapacity(store, *demand.firstBounded, now);
    if (isProbing_[store] || (helps && isMeasured(store, isPrimary, now))) measured += 1;
    if (manyProxies_ && selection.mayServeLongReads(store)) ++hostRank;
    if (isProbing_[store] || !stores_.endpoints.isUp(store)) continue;
    if (!stores_.endpoints.mayProbe(store)) continue;
    if (stores_.health.hasRefusedConnection(store)) {
      if (!stores_.health.isEjected(store, now)) probe(store, round);
      continue;
    }
    if (!isDue(store, now) || stores_.isInSuspectZone(store, now)) continue;
    if (!helps && !demand.searchesPrimary) continue;
    if (!isWorthProbing(store, isPrimary, demand, now)) continue;
    candidates_.push_back({supposedLag(store, hostRank <= hosts), store});
  }
  return measured;
}

// With many proxies of light traffic each, probing all replicas costs more than the reads do. There
// the one that lagged least when last seen is probed first, hosts of long reads last, one at a
// time.
void ProbeScheduler::schedule(int group, const std::vector<int>& waiting,
                              const std::vector<StatementState>& statements,
                              const ReplicaSelection& selection, RandomSource& random,
                              const Round& round) {
  Demand demand = demandOf(group, waiting, statements, round.now);
  double measured = collectCandidates(group, demand, selection, round);
  bool hasFirstProbe = std::any_of(
      candidates_.begin(), candidates_.end(),
      [&](const Candidate& candidate) { return isFirstProbe(candidate.store); });
  if (manyProxies_) std::shuffle(candidates_.begin(), candidates_.end(), random);
  double wanted = wantedReplicas(group, demand, selection, round.now);
  auto mayProbeMore = [&] {
    if (budget_ < 1) return false;
    return measured < wanted || (demand.searchesPrimary && measured < 1);
  };
  // Of hundreds of replicas nearly all are due at all times, and most rounds probe none.
  if (!hasFirstProbe && !mayProbeMore()) return;
  std::stable_sort(candidates_.begin(), candidates_.end(),
                   [&](const Candidate& one, const Candidate& other) {
                     return std::tie(one.supposedLag, dueAt_[one.store]) <
                            std::tie(other.supposedLag, dueAt_[other.store]);
                   });
  for (const Candidate& candidate : candidates_) {
    bool isFree = isFirstProbe(candidate.store);
    if (!isFree && !mayProbeMore()) continue;
    dueAt_[candidate.store] = round.now + refreshPeriod_;
    measured += 1;
    if (!isFree) budget_ -= 1;
    probe(candidate.store, round);
  }
}

void ProbeScheduler::probe(int store, const Round& round) {
  isProbing_[store] = 1;
  sentAt_[store] = round.now;
  round.sink.probe(store);
}

}  // namespace reedchute

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

constexpr double kMinProbeInterval = 0.3;    // smallest bounds between two probes of a store
constexpr double kMaxProbeInterval = 10;     // smallest bounds between two probes of a store
constexpr double kInitialReportAge = 0.25;   // smallest bounds
constexpr double kMinReportAgeDrift = 0.01;  // relative rise of the least report age at each report
constexpr double kLagInterval = 0.25;        // of a replica's lag; it can't be fresh much sooner
constexpr double kLagging = 1.5;  // multiple of the greatest report age of a healthy replica
constexpr double kMinPeriodSample = 0.6;   // of the known period: closer reports are not a sample
constexpr double kPeriodWeight = 0.1;      // weight of one sample of the period
constexpr double kProbeSpending = 0.06;    // of a read's value: spent on probes for a bounded read
constexpr double kMaxEarned = 4;           // probes that one read earns
constexpr double kMaxBudget = 16;          // probes
constexpr double kMeasuredPerRead = 0.75;  // measured replicas wanted per bounded read in flight
constexpr double kWaitingWeight = 0.25;    // of a waiting bounded read, counted as in flight
constexpr double kSmallestCost = 1e-9;     // least cost of a probe

}  // namespace

ProbeScheduler::ProbeScheduler(const EngineSettings& settings, const StoreModules& stores)
    : settings_(settings),
      stores_(stores),
      manyProxies_(stores.limits.isSharedByManyProxies()),
      smallestBound_(stores.statistics.smallestBound()),
      earnedPerRead_(
          std::min(kMaxEarned, kProbeSpending / std::max(settings.probeCost, kSmallestCost))),
      refreshPeriod_(smallestBound_),
      minReportAge_(smallestBound_ * kInitialReportAge) {}

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
  dueAt_[store] = now + smallestBound_ * kMinProbeInterval;
}

// A single probe whose connection was lost proves nothing, so the next one is sent early: a replica
// without a known position for long would get no bounded reads.
void ProbeScheduler::onProbeFailed(int store, bool isUnreachable, TimePoint now) {
  dueAt_[store] = now + smallestBound_ * (isUnreachable ? kMaxProbeInterval : kMinProbeInterval);
}

// Measures the period in which reports are renewed, and the least age of a report when it arrives.
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
      minReportAge_ = std::min(minReportAge_ * (1 + kMinReportAgeDrift), age);
      renewal = std::max(renewal,
                         position + refreshPeriod_ + minReportAge_ * (1 + kMinProbeInterval));
      // The positions of a store that catches up or falls behind differ by more or less than the
      // period of its reports.
      Duration gap = before > kNever ? position - before : refreshPeriod_;
      gap = gap * (1 / std::max(1.0, std::round(gap / refreshPeriod_)));
      if (gap > refreshPeriod_ * kMinPeriodSample)
        refreshPeriod_ = refreshPeriod_ + (gap - refreshPeriod_) * kPeriodWeight;
    }
  }
  // Probes with the period of the reports alone could each receive a report at its oldest, so that
  // the replica never seems fresh.
  dueAt_[store] = std::max(now + smallestBound_ * kMinProbeInterval, renewalAt_[store]);
}

void ProbeScheduler::onClockStepped(Duration older) {
  for (TimePoint& position : reportPosition_)
    if (position > kNever) position = position - older;
}

void ProbeScheduler::deferByLag(int store, Duration lag, Duration least, TimePoint now) {
  Duration pause = std::max(least, lag * kLagInterval);
  dueAt_[store] = now + std::min(pause, smallestBound_ * kMaxProbeInterval);
}

void ProbeScheduler::deferLong(int store, TimePoint now) {
  dueAt_[store] = now + smallestBound_ * kMaxProbeInterval;
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
  double wanted = 1 + kMeasuredPerRead * (arriving + demand.boundedReads * kWaitingWeight);
  return manyProxies_ ? std::floor(wanted) : wanted;
}

// A replica that was just probed without success counts too: if all replicas are at the same
// commit, one probe is enough. With many proxies one such probe says little about the next replica.
bool ProbeScheduler::isMeasured(int store, bool isPrimary, TimePoint now) const {
  if (isPrimary) return false;
  if (stores_.freshness.isWellWithinBounds(store, now)) return true;
  return !manyProxies_ && now - answeredAt_[store] < smallestBound_ * kMinProbeInterval;
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

// The lag that a replica is assumed to have; the replica with the least is the one whose probe is
// most likely to help. A proxy with light traffic knows little about most replicas. One without a
// known position may be fresh, but not if it serves long reads.
Duration ProbeScheduler::assumedLag(int store, bool servesLongReads) const {
  if (!stores_.freshness.isDrainedForAllBounds(store)) return {};
  if (!manyProxies_) return smallestBound_;
  if (!stores_.freshness.hasPosition(store))
    return smallestBound_ * (servesLongReads ? kMaxProbeInterval : kLagging);
  return answeredAt_[store] - stores_.freshness.position(store);
}

double ProbeScheduler::collectCandidates(int group, const Demand& demand,
                                         const ReplicaSelection& selection, const Round& round) {
  TimePoint now = round.now;
  int longReadStores = 0;
  if (manyProxies_ && stores_.statistics.hasLongReads())
    longReadStores = stores_.statistics.longReadStores(stores_.endpoints.groupSize(group));
  int longReadRank = 0;
  double measured = 0;
  candidates_.clear();
  for (int store : stores_.endpoints.members(group)) {
    bool isPrimary = store == stores_.primaries.primary(group);
    // With many proxies most replicas have no capacity for one more read from this proxy; fresh or
    // not, they don't help.
    bool helps = !manyProxies_ || !demand.firstBounded ||
                 selection.hasCapacity(store, *demand.firstBounded, now);
    if (isProbing_[store] || (helps && isMeasured(store, isPrimary, now))) measured += 1;
    if (manyProxies_ && selection.mayServeLongReads(store)) ++longReadRank;
    if (isProbing_[store] || !stores_.endpoints.isUp(store)) continue;
    if (!stores_.endpoints.mayProbe(store)) continue;
    if (stores_.health.hasRefusedConnection(store)) {
      if (!stores_.health.isEjected(store, now)) probe(store, round);
      continue;
    }
    if (!isDue(store, now) || stores_.isInSuspectZone(store, now)) continue;
    if (!helps && !demand.searchesPrimary) continue;
    if (!isWorthProbing(store, isPrimary, demand, now)) continue;
    candidates_.push_back({assumedLag(store, longReadRank <= longReadStores), store});
  }
  return measured;
}

// With many proxies of light traffic each, probing all replicas costs more than the reads do. There
// replicas are probed one at a time, the one with the least last known lag first and those that
// serve long reads last.
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
  // With hundreds of replicas nearly all are due at any time, but most rounds probe none of them,
  // so the sort is skipped.
  if (!hasFirstProbe && !mayProbeMore()) return;
  std::stable_sort(candidates_.begin(), candidates_.end(),
                   [&](const Candidate& one, const Candidate& other) {
                     return std::tie(one.assumedLag, dueAt_[one.store]) <
                            std::tie(other.assumedLag, dueAt_[other.store]);
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

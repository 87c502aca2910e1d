#include "decision/admission.h"

#include <algorithm>
#include <cmath>

#include "decision/indexed_array.h"
#include "decision/replica_selection.h"
#include "decision/retry_policy.h"
#include "decision/statement_actions.h"
#include "decision/store_modules.h"

namespace reedchute {
namespace {

// A statement is late unless kRequiredTypicalTimes typical times are left before its SLO time is
// over; these are capped at kMaxRequiredTime of the SLO time, but are at least one typical time.
constexpr double kRequiredTypicalTimes = 2;
constexpr double kMaxRequiredTime = 0.7;
constexpr double kMaxLateWait = 0.45;  // of its client's time: longest wait of a late statement
constexpr double kMinLateShareToWait = 0.5;  // least lateShare at which it waits for capacity
constexpr double kMaxArrivalGap = 4;         // rate memories between two arrivals, at most

}  // namespace

Admission::Admission(const EngineSettings& settings, const StoreModules& stores,
                     std::vector<StatementState>& statements)
    : settings_(settings),
      stores_(stores),
      statements_(statements),
      tenants_(settings.tenants.size()) {
  for (const Tenant& tenant : settings.tenants) allQuotas_ += tenant.quota;
}

void Admission::ensureGroup(int group) {
  ensureIndex(waiting_, group);
}

double Admission::updateRates(int tenant, double passed) {
  double memory = stores_.rateMemory.seconds();
  double decay = std::exp(-passed / memory);
  double sum = 0;
  for (std::size_t index = 0; index < tenants_.size(); ++index) {
    bool isCounted = static_cast<int>(index) == tenant;
    tenants_[index].rate = tenants_[index].rate * decay + (isCounted ? 1 / memory : 0);
    sum += tenants_[index].rate;
  }
  return sum;
}

// A tenant's statements beyond its quota have little importance. This proxy's part of the quota is
// estimated from its part of all traffic.
void Admission::countTenant(StatementState& statement, TimePoint now) {
  if (statement.tenant < 0 || allQuotas_ <= 0) return;
  Duration memory = stores_.rateMemory;
  double passed = (now - std::max(tenantsCountedAt_, now - memory * kMaxArrivalGap)).seconds();
  tenantsCountedAt_ = now;
  double allRates = updateRates(statement.tenant, passed);
  double part = std::max(1.0 / settings_.proxyCount, allRates / allQuotas_);
  for (std::size_t index = 0; index < tenants_.size(); ++index) {
    double quota = settings_.tenants[index].quota * part;
    double most = std::max(1.0, quota * memory.seconds());
    tenants_[index].tokens = std::min(tenants_[index].tokens + quota * passed, most);
  }
  TenantUsage& usage = tenants_[statement.tenant];
  statement.isOverQuota = usage.tokens < 1;
  if (!statement.isOverQuota) usage.tokens -= 1;
}

void Admission::enqueue(const StatementState& statement) {
  waiting_[statement.group].push_back(statement.id);
}

void Admission::release(TimePoint now) {
  if (!isHeld_) return;
  isHeld_ = false;
  for (const std::vector<int>& waiting : waiting_)
    for (int id : waiting) statements_[id].arrived = now;
}

Duration Admission::requiredTime(int workload) const {
  Duration typical = stores_.statistics.typicalTime(workload);
  Duration most = settings_.workloads[workload].slo * kMaxRequiredTime;
  return std::max(typical, std::min(typical * kRequiredTypicalTimes, most));
}

bool Admission::isLate(const StatementState& statement, TimePoint now) const {
  Duration slo = settings_.workloads[statement.workload].slo;
  return now + requiredTime(statement.workload) > statement.arrived + slo;
}

double Admission::importance(const StatementState& statement, TimePoint now) const {
  const Workload& workload = settings_.workloads[statement.workload];
  double quotaFactor = statement.isOverQuota ? settings_.overQuotaImportance : 1;
  double lateFactor = isLate(statement, now) ? workload.lateShare : 1;
  return workload.importance * quotaFactor * lateFactor;
}

void Admission::sortWaiting(int group, TimePoint now) {
  std::vector<int>& waiting = waiting_[group];
  std::erase_if(waiting,
                [&](int id) { return !statements_[id].isOpen || statements_[id].isOutstanding(); });
  std::stable_sort(waiting.begin(), waiting.end(), [&](int one, int other) {
    return importance(statements_[one], now) > importance(statements_[other], now);
  });
}

// If one bounded read finds no store, the others of its workload find none either in this round.
void Admission::dispatch(int group, ReplicaSelection& selection, const RetryPolicy& retries,
                         StatementActions& actions, const Round& round) {
  sortWaiting(group, round.now);
  hasNoStore_.assign(settings_.workloads.size(), 0);
  stillWaiting_.clear();
  for (int id : waiting_[group]) {
    StatementState& statement = statements_[id];
    int store = kNoStore;
    bool maySend = !isHeld_ && statement.notBefore <= round.now;
    if (maySend && !hasNoStore_[statement.workload]) {
      store = selection.route(statement, round.now);
      if (store >= 0 && !retries.mayRetryAt(store, statement, round.now)) store = kNoStore;
      // A read that continues another one may be the only one that finds no store.
      bool isTypical = settings_.workloads[statement.workload].level == Level::bounded &&
                       !statement.precedingRead;
      if (store < 0 && isTypical) hasNoStore_[statement.workload] = 1;
    }
    if (store >= 0)
      actions.send(statement, store, round);
    else
      stillWaiting_.push_back(id);
  }
  waiting_[group].swap(stillWaiting_);
}

// A late statement keeps waiting if it waits for a primary or is still important, but only for a
// part of its client's time, so that the client has time to retry.
bool Admission::mayKeepWaiting(const StatementState& statement, TimePoint now) const {
  if (!isLate(statement, now)) return true;
  const Workload& workload = settings_.workloads[statement.workload];
  bool mayNeedPrimary = workload.level != Level::any || statement.precedingRead;
  bool awaitsPrimary = mayNeedPrimary && !stores_.hasUsablePrimary(statement.group, now);
  bool isImportant = workload.lateShare >= kMinLateShareToWait ||
                     (awaitsPrimary && workload.lateShare > 0);
  bool hasWaited = now - statement.arrived >
                   (statement.giveUpAt - statement.arrived) * kMaxLateWait;
  return isImportant && !hasWaited;
}

void Admission::shed(int group, const RetryPolicy& retries, StatementActions& actions,
                     const Round& round) {
  TimePoint now = round.now;
  for (int id : waiting_[group]) {
    StatementState& statement = statements_[id];
    bool cannotBeAnswered = now + requiredTime(statement.workload) > statement.giveUpAt ||
                            !retries.mayRetry(statement, now);
    bool isWanted = isHeld_ || mayKeepWaiting(statement, now);
    if (cannotBeAnswered || !isWanted) actions.giveUp(statement, round);
  }
  std::erase_if(waiting_[group], [&](int id) { return !statements_[id].isOpen; });
}

}  // namespace reedchute

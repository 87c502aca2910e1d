#include "decision/retry_policy.h"

#include <algorithm>

#include "decision/replica_selection.h"
#include "decision/statement_actions.h"
#include "decision/store_modules.h"

namespace reedchute {
namespace {

constexpr double kUnresponsiveMissing = 8;    // missing responses that make a store unresponsive
constexpr double kMaxMissingPerAttempt = 3;   // missing responses counted for one attempt
constexpr double kUnresponsiveShare = 0.3;    // of the smallest SLO time without any response
constexpr double kOverdueMultiple = 3;        // typical times
constexpr double kOverdueShare = 0.5;         // fraction of the SLO time
constexpr double kHedgesPerStatement = 0.05;  // hedged requests per statement
constexpr double kMaxHedgingBudget = 16;      // hedged requests
constexpr double kGiveUpTicks = 2;            // before its deadline, when a statement is given up

}  // namespace

RetryPolicy::RetryPolicy(const EngineSettings& settings, StoreModules& stores,
                         ReplicaSelection& selection, StatementActions& actions)
    : settings_(settings), stores_(stores), selection_(selection), actions_(actions) {}

void RetryPolicy::onStatementArrived() {
  hedgingBudget_ = std::min(kMaxHedgingBudget, hedgingBudget_ + kHedgesPerStatement);
}

bool RetryPolicy::mayRetry(const StatementState& statement, TimePoint now) const {
  const Workload& workload = settings_.workloads[statement.workload];
  if (static_cast<int>(statement.attempts.size()) >= settings_.maxAttempts) return false;
  if (!settings_.allowsHedging && statement.isOutstanding()) return false;
  return std::all_of(statement.attempts.begin(), statement.attempts.end(),
                     [&](const Attempt& earlier) { return mayRunAfter(earlier, workload, now); });
}

bool RetryPolicy::mayRetryAt(int store, const StatementState& statement, TimePoint now) const {
  if (!mayRetry(statement, now)) return false;
  const Workload& workload = settings_.workloads[statement.workload];
  if (workload.effect == Effect::idempotent) return true;
  return std::all_of(statement.attempts.begin(), statement.attempts.end(),
                     [&](const Attempt& earlier) {
                       return !earlier.mayHaveRun || isInScope(store, earlier, workload.scope);
                     });
}

// Executing a non-idempotent statement again has a second effect, and so has a retry after the
// store has dropped the idempotency key.
bool RetryPolicy::mayRunAfter(const Attempt& earlier, const Workload& workload,
                              TimePoint now) const {
  if (workload.effect == Effect::idempotent || !earlier.mayHaveRun) return true;
  if (workload.effect == Effect::nonIdempotent) return false;
  return now + settings_.tick - earlier.sent < workload.deduplicationWindow;
}

bool RetryPolicy::isInScope(int store, const Attempt& earlier, Scope scope) const {
  const EndpointList& endpoints = stores_.endpoints;
  switch (scope) {
    case Scope::zone:
      return endpoints.zone(store) == endpoints.zone(earlier.store);
    case Scope::group:
      return endpoints.group(store) == endpoints.group(earlier.store);
    default:
      return true;
  }
}

// A store that accepts statements but doesn't respond can only be detected by missing responses.
void RetryPolicy::countMissingResponses(const std::vector<int>& open,
                                        const std::vector<StatementState>& statements,
                                        TimePoint now) {
  missingResponses_.assign(stores_.endpoints.size(), 0);
  for (int id : open) {
    const StatementState& statement = statements[id];
    Duration typicalTime = stores_.statistics.typicalTime(statement.workload);
    for (const Attempt& attempt : statement.attempts)
      if (attempt.isOutstanding)
        missingResponses_[attempt.store] += missingResponses(attempt, typicalTime, now);
  }
}

double RetryPolicy::missingResponses(const Attempt& attempt, Duration typicalTime,
                                     TimePoint now) const {
  // If responses take little of the SLO time, one lost connection looks like an unresponsive store.
  TimePoint lastResponse = stores_.health.lastResponse(attempt.store);
  if (now - lastResponse < stores_.statistics.smallestSlo() * kUnresponsiveShare) return 0;
  double missing = (now - std::max(lastResponse, attempt.sent)) / typicalTime;
  if (stores_.limits.isSharedByManyProxies()) return missing;
  if (attempt.sent < stores_.health.ejectedAt(attempt.store)) return 0;
  return std::min(missing, kMaxMissingPerAttempt);
}

void RetryPolicy::ejectUnresponsiveStores(TimePoint now) {
  for (int store = 0; store < stores_.endpoints.size(); ++store) {
    bool isUnresponsive = missingResponses_[store] > kUnresponsiveMissing;
    if (isUnresponsive && !stores_.health.isEjected(store, now))
      stores_.health.eject(store, EjectionReason::unresponsive, now);
  }
}

void RetryPolicy::supervise(const std::vector<int>& open, std::vector<StatementState>& statements,
                            const Round& round) {
  countMissingResponses(open, statements, round.now);
  ejectUnresponsiveStores(round.now);
  for (int id : open) superviseStatement(statements[id], round);
}

// The client stops waiting at `giveUpAt`, and no response may be sent after that, so the statement
// is given up a few ticks before.
void RetryPolicy::superviseStatement(StatementState& statement, const Round& round) {
  if (!statement.isOpen) return;
  if (round.now + settings_.tick * kGiveUpTicks >= statement.giveUpAt) {
    actions_.giveUp(statement, round);
    return;
  }
  int attempts = static_cast<int>(statement.attempts.size());
  for (int index = 0; index < attempts; ++index)
    if (superviseAttempt(statement, index, round) == Supervision::hedged) return;
}

RetryPolicy::Supervision RetryPolicy::superviseAttempt(StatementState& statement, int index,
                                                       const Round& round) {
  Attempt& attempt = statement.attempts[index];
  if (!attempt.isOutstanding || attempt.isCancelled) return Supervision::notHedged;
  Duration typicalTime = stores_.statistics.typicalTime(statement.workload);
  bool overdue = isOverdue(statement, attempt, round.now);
  if (overdue && !attempt.isOverdue) onOverdue(attempt, round.now);
  bool isReplaceable = overdue && isUnresponsive(attempt, typicalTime, round.now) &&
                       !settings_.allowsHedging;
  if (settings_.mayCancel && (isReplaceable || hasPrimaryMoved(statement, attempt))) {
    actions_.cancel(statement, index, round);
    return Supervision::notHedged;
  }
  bool isLast = index + 1 == static_cast<int>(statement.attempts.size());
  return overdue && isLast ? hedge(statement, round) : Supervision::notHedged;
}

bool RetryPolicy::isUnresponsive(const Attempt& attempt, Duration typicalTime,
                                 TimePoint now) const {
  return missingResponses_[attempt.store] > kUnresponsiveMissing &&
         now - attempt.sent > typicalTime;
}

bool RetryPolicy::isOverdue(const StatementState& statement, const Attempt& attempt,
                            TimePoint now) const {
  const Workload& workload = settings_.workloads[statement.workload];
  if (workload.effect != Effect::idempotent) return false;
  Duration typicalTime = stores_.statistics.typicalTime(statement.workload);
  Duration overdueAfter = std::max(typicalTime * kOverdueMultiple, workload.slo * kOverdueShare);
  return now - attempt.sent > overdueAfter || isUnresponsive(attempt, typicalTime, now);
}

bool RetryPolicy::hasPrimaryMoved(const StatementState& statement, const Attempt& attempt) const {
  if (settings_.workloads[statement.workload].level != Level::write) return false;
  int primary = stores_.primaries.primary(statement.group);
  return primary >= 0 && primary != attempt.store &&
         stores_.primaries.primarySince(statement.group) > attempt.sent;
}

void RetryPolicy::onOverdue(Attempt& attempt, TimePoint now) {
  int store = attempt.store;
  attempt.isOverdue = true;
  stores_.health.onAttemptOverdue(store, stores_.endpoints.zone(store), attempt.sent, now);
  stores_.limits.cut(store, attempt.sent, CutReason::slow, now);
}

RetryPolicy::Supervision RetryPolicy::hedge(StatementState& statement, const Round& round) {
  if (!settings_.allowsHedging || hedgingBudget_ < 1) return Supervision::notHedged;
  int store = selection_.route(statement, round.now);
  if (store < 0 || !mayRetryAt(store, statement, round.now)) return Supervision::notHedged;
  hedgingBudget_ -= 1;
  actions_.send(statement, store, round);
  return Supervision::hedged;
}

}  // namespace reedchute

#include "decision/statement_actions.h"

#include <algorithm>

#include "decision/store_modules.h"

namespace reedchute {
namespace {

constexpr double kRetryAfter = 0.5;    // SLO times
constexpr double kRoleLifetime = 0.5;  // of `responseAssumedKnownAfter`

}  // namespace

bool isRetrySafe(const StatementState& statement, const Workload& workload) {
  if (workload.effect == Effect::idempotent) return true;
  if (workload.effect == Effect::deduplicated && workload.scope == Scope::everywhere) return true;
  return std::none_of(statement.attempts.begin(), statement.attempts.end(),
                      [](const Attempt& attempt) { return attempt.mayHaveRun; });
}

StatementActions::StatementActions(const EngineSettings& settings, StoreModules& stores)
    : settings_(settings), stores_(stores) {}

void StatementActions::send(StatementState& statement, int store, const Round& round) {
  TimePoint now = round.now;
  TimePoint sendBy = sendDeadline(statement, store, now);
  statement.attempts.push_back({.store = store,
                                .sent = now,
                                .isOutstanding = true,
                                .isPaced = stores_.limits.isPaced(store, now)});
  const WorkloadStatistics& statistics = stores_.statistics;
  stores_.limits.onSent(store, statistics.typicalTime(statement.workload), now);
  stores_.slowStart.onSent(store, statistics.relativeWork(statement.workload), now);
  stores_.health.onSent(store, now);
  round.sink.send(statement.id, store, statement.giveUpAt, sendBy);
}

// Establishing a connection takes time, and an attempt that is sent too late may be a stale read or
// have a second effect.
TimePoint StatementActions::sendDeadline(const StatementState& statement, int store,
                                         TimePoint now) const {
  const Workload& workload = settings_.workloads[statement.workload];
  TimePoint deadline = retrySendDeadline(statement);
  if (!stores_.freshness.reliesOnKnownFreshness(statement)) return deadline;
  if (store != stores_.primaries.primary(statement.group)) {
    bool reliesOnBound = workload.level == Level::bounded && !settings_.storesRejectStaleReads;
    if (!reliesOnBound) return deadline;
    TimePoint tooOldAt = stores_.freshness.position(store) + workload.stalenessBound;
    return std::min(deadline, tooOldAt);
  }
  if (settings_.responseAssumedKnownAfter <= Duration{}) return deadline;
  // A response that is still unread may already show that the store has lost the primary role, and
  // counts as known after `responseAssumedKnownAfter`.
  TimePoint roleDoubtfulAt = now + settings_.responseAssumedKnownAfter * kRoleLifetime;
  return std::min(deadline, roleDoubtfulAt);
}

// A retry has to be sent while the stores still deduplicate earlier attempts that may have run.
TimePoint StatementActions::retrySendDeadline(const StatementState& statement) const {
  const Workload& workload = settings_.workloads[statement.workload];
  TimePoint deadline = statement.giveUpAt;
  if (workload.effect != Effect::deduplicated) return deadline;
  for (const Attempt& attempt : statement.attempts) {
    if (!attempt.mayHaveRun) continue;
    TimePoint windowEnd = attempt.sent + workload.deduplicationWindow - settings_.tick;
    deadline = std::min(deadline, windowEnd);
  }
  return deadline;
}

void StatementActions::cancel(StatementState& statement, int attempt, const Round& round) {
  statement.attempts[attempt].isCancelled = true;
  round.sink.cancel(statement.id, attempt);
}

void StatementActions::giveUp(StatementState& statement, const Round& round) {
  if (!statement.isOpen) return;
  int attempts = static_cast<int>(statement.attempts.size());
  for (int attempt = 0; attempt < attempts; ++attempt)
    if (statement.attempts[attempt].isOutstanding && settings_.mayCancel)
      round.sink.cancel(statement.id, attempt);
  statement.isOpen = false;
  const Workload& workload = settings_.workloads[statement.workload];
  if (!isRetrySafe(statement, workload)) {
    round.sink.abort(statement.id);
    return;
  }
  Duration retryAfter;
  if (settings_.repliesWithRetryAfter)
    retryAfter = std::min(settings_.maxRetryAfter, workload.slo * kRetryAfter);
  round.sink.reject(statement.id, retryAfter);
}

}  // namespace reedchute

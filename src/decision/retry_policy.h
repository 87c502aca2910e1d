// Decides on further attempts of a statement: when a retry is safe, when an attempt is overdue, and
// when a hedged request is sent in addition to it.
//
// Owns the hedging budget, to which each statement adds. Detects stores that accept statements but
// don't respond, and ejects them.
#pragma once

#include <vector>

#include "base/time.h"
#include "decision/types.h"

namespace reedchute {

class ReplicaSelection;
class StatementActions;
struct StoreModules;

class RetryPolicy {
 public:
  RetryPolicy(const EngineSettings& settings, StoreModules& stores, ReplicaSelection& selection,
              StatementActions& actions);

  void onStatementArrived();

  // True if another attempt is allowed after all attempts already sent. mayRetryAt() also checks
  // that the store shares the idempotency key with the stores of those attempts.
  bool mayRetry(const StatementState& statement, TimePoint now) const;
  bool mayRetryAt(int store, const StatementState& statement, TimePoint now) const;

  // Checks all outstanding attempts: ejects unresponsive stores, cancels or hedges overdue
  // attempts, and gives up statements whose deadline has come.
  void supervise(const std::vector<int>& open, std::vector<StatementState>& statements,
                 const Round& round);

 private:
  enum class Supervision { notHedged, hedged };

  bool mayRunAfter(const Attempt& earlier, const Workload& workload, TimePoint now) const;
  bool isInScope(int store, const Attempt& earlier, Scope scope) const;
  // Estimates, for each store, how many responses are missing, by the typical times.
  void countMissingResponses(const std::vector<int>& open,
                             const std::vector<StatementState>& statements, TimePoint now);
  double missingResponses(const Attempt& attempt, Duration typicalTime, TimePoint now) const;
  void ejectUnresponsiveStores(TimePoint now);
  void superviseStatement(StatementState& statement, const Round& round);
  Supervision superviseAttempt(StatementState& statement, int index, const Round& round);
  bool isUnresponsive(const Attempt& attempt, Duration typicalTime, TimePoint now) const;
  bool isOverdue(const StatementState& statement, const Attempt& attempt, TimePoint now) const;
  bool hasPrimaryMoved(const StatementState& statement, const Attempt& attempt) const;
  void onOverdue(Attempt& attempt, TimePoint now);
  Supervision hedge(StatementState& statement, const Round& round);

  const EngineSettings& settings_;
  StoreModules& stores_;
  ReplicaSelection& selection_;
  StatementActions& actions_;
  double hedgingBudget_ = 0;              // attempts
  std::vector<double> missingResponses_;  // by store, in this round
};

}  // namespace reedchute

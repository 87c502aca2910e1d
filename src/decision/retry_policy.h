// Further attempts of a statement: when a retry is safe, when an attempt is overdue, and when a
// second one is sent beside it.
//
// Owns the hedging budget, which each statement earns a part of. Finds stores that take statements
// and respond to none, and has them ejected.
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

  // True where the statement may be sent once more to some store, after all that was sent before.
  bool mayRetry(const StatementState& statement, TimePoint now) const;
  bool mayRetryAt(int store, const StatementState& statement, TimePoint now) const;

  // Looks after all attempts that are outstanding, and gives up statements whose time is over.
  void supervise(const std::vector<int>& open, std::vector<StatementState>& statements,
                 const Round& round);

 private:
  enum class Supervision { goesOn, hedged };

  bool mayRunAfter(const Attempt& earlier, const Workload& workload, TimePoint now) const;
  bool isInScope(int store, const Attempt& earlier, Scope scope) const;
  // Counts, for each store, the responses that it should have given by usual times.
  void countMissingResponses(const std::vector<int>& open,
                             const std::vector<StatementState>& statements, TimePoint now);
  double missingResponses(const Attempt& attempt, Duration typicalTime, TimePoint now) const;
  void ejectSilentStores(TimePoint now);
  void superviseStatement(StatementState& statement, const Round& round);
  Supervision superviseAttempt(StatementState& statement, int index, const Round& round);
  bool isSilent(const Attempt& attempt, Duration typicalTime, TimePoint now) const;
  bool isOverdue(const StatementState& statement, const Attempt& attempt, TimePoint now) const;
  bool hasPrimaryMoved(const StatementState& statement, const Attempt& attempt) const;
  void onOverdue(Attempt& attempt, TimePoint now);
  Supervision hedge(StatementState& statement, const Round& round);

  const EngineSettings& settings_;
  StoreModules& stores_;
  ReplicaSelection& selection_;
  StatementActions& actions_;
  double hedgingBudget_ = 0;              // attempts
  std::vector<double> missingResponses_;  // of each store, in this round
};

}  // namespace reedchute

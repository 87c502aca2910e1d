// Actions on a statement: sending and cancelling attempts, and giving a statement up.
//
// Owns no state. Every send is made here, so that each module that counts attempts is notified, and
// each attempt has a send deadline until which the state that the decision relies on holds.
#pragma once

#include "base/time.h"
#include "decision/types.h"

namespace reedchute {

struct StoreModules;

class StatementActions {
 public:
  StatementActions(const EngineSettings& settings, StoreModules& stores);

  // Adds an attempt at `store` and sends it.
  void send(StatementState& statement, int store, const Round& round);
  // Cancels the attempt with index `attempt`.
  void cancel(StatementState& statement, int attempt, const Round& round);
  // Ends an open statement with a rejection, or with an abort if a retry is not safe.
  void giveUp(StatementState& statement, const Round& round);

 private:
  // The time by which an attempt at `store` has to be written.
  TimePoint sendDeadline(const StatementState& statement, int store, TimePoint now) const;
  // The same for reasons other than freshness: the client's deadline and the deduplication window.
  TimePoint retrySendDeadline(const StatementState& statement) const;

  const EngineSettings& settings_;
  StoreModules& stores_;
};

// True if a client can safely retry the statement: a further execution can't repeat an effect.
bool isRetrySafe(const StatementState& statement, const Workload& workload);

}  // namespace reedchute

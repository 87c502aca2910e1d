// What is done with a statement: attempts are sent or cancelled, and a statement is given up.
//
// Owns no state. Every send goes through here, so that each module that counts attempts learns of
// it, and each attempt leaves in time for the data that it rests on.
#pragma once

#include "base/time.h"
#include "decision/types.h"

namespace reedchute {

struct StoreModules;

class StatementActions {
 public:
  StatementActions(const EngineSettings& settings, StoreModules& stores);

  void send(StatementState& statement, int store, const Round& round);
  void cancel(StatementState& statement, int attempt, const Round& round);
  // Ends an open statement with a rejection, or with an abort where a retry could do harm.
  void giveUp(StatementState& statement, const Round& round);

 private:
  TimePoint leaveBy(const StatementState& statement, int store, TimePoint now) const;
  TimePoint retryLeaveBy(const StatementState& statement) const;

  const EngineSettings& settings_;
  StoreModules& stores_;
};

// True where a client may be told that a retry does no harm.
bool isRetryHarmless(const StatementState& statement, const Workload& workload);

}  // namespace reedchute

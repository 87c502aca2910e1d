// Queues the statements that wait for a store, and dispatches them by importance.
//
// Owns the queue of each group and the quota usage of tenants. Sheds statements that cannot be
// answered in time, so that their clients needn't wait for them.
#pragma once

#include <vector>

#include "base/time.h"
#include "decision/types.h"

namespace reedchute {

class ReplicaSelection;
class RetryPolicy;
class StatementActions;
struct StoreModules;

class Admission {
 public:
  Admission(const EngineSettings& settings, const StoreModules& stores,
            std::vector<StatementState>& statements);

  void ensureGroup(int group);

  // Counts a new statement against its tenant's quota.
  void countTenant(StatementState& statement, TimePoint now);
  // Until release(), dispatch() sends nothing, and shed() gives up only statements that cannot be
  // answered before their deadline or may not be sent again.
  void hold() { isHeld_ = true; }
  // Ends hold(); all waiting statements count as arrived now.
  void release(TimePoint now);
  void enqueue(const StatementState& statement);
  // The ids of the group's waiting statements.
  const std::vector<int>& waiting(int group) const { return waiting_[group]; }

  // Sends the statements for which a store has capacity, the most important first.
  void dispatch(int group, ReplicaSelection& selection, const RetryPolicy& retries,
                StatementActions& actions, const Round& round);
  // Gives up statements that cannot be answered before their deadline, and late ones of little
  // importance.
  void shed(int group, const RetryPolicy& retries, StatementActions& actions, const Round& round);

 private:
  struct TenantUsage {
    double rate = 0;    // statements per second at this proxy
    double tokens = 0;  // statements that its quota still allows
  };

  // The time that must be left before the deadline for sending a statement to be useful.
  Duration requiredTime(int workload) const;
  bool isLate(const StatementState& statement, TimePoint now) const;
  double importance(const StatementState& statement, TimePoint now) const;
  bool mayKeepWaiting(const StatementState& statement, TimePoint now) const;
  void sortWaiting(int group, TimePoint now);
  // Decays all tenants' rates by `passed` seconds and counts one statement of `tenant`. Returns the
  // sum of the rates.
  double updateRates(int tenant, double passed);

  const EngineSettings& settings_;
  const StoreModules& stores_;
  bool isHeld_ = false;
  std::vector<StatementState>& statements_;
  std::vector<std::vector<int>> waiting_;  // ids by group; statements without outstanding attempts
  std::vector<TenantUsage> tenants_;
  double allQuotas_ = 0;  // statements per second, over all tenants
  TimePoint tenantsCountedAt_ = kNever;
  std::vector<int> stillWaiting_;  // scratch of dispatch()
  std::vector<char> hasNoStore_;   // by workload: no store can take its reads in this round
};

}  // namespace reedchute

// The statements that wait for a store, in the order of their importance.
//
// Owns the queue of each group and the quotas of tenants. Statements that can't do any good any
// more are shed, so that their clients may go on.
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
  // Until release(), dispatch() sends nothing and shed() gives up only what is out of time.
  void hold() { isHeld_ = true; }
  // What waits counts as arrived now.
  void release(TimePoint now);
  void enqueue(const StatementState& statement);
  // The statements of the group that wait, by their ids.
  const std::vector<int>& waiting(int group) const { return waiting_[group]; }

  // Sends what a store has room for, the most important first.
  void dispatch(int group, ReplicaSelection& selection, const RetryPolicy& retries,
                StatementActions& actions, const Round& round);
  // Gives up statements that are hopeless, or late and worth little.
  void shed(int group, const RetryPolicy& retries, StatementActions& actions, const Round& round);

 private:
  struct TenantUsage {
    double rate = 0;    // statements a second at this proxy
    double tokens = 0;  // statements left within its quota
  };

  // The time that must be left for a start to be of use.
  Duration startTime(int workload) const;
  bool isLate(const StatementState& statement, TimePoint now) const;
  double importance(const StatementState& statement, TimePoint now) const;
  bool isWorthKeeping(const StatementState& statement, TimePoint now) const;
  void sortWaiting(int group, TimePoint now);
  // Counts the statement in the rates, and returns the sum of all tenants' rates.
  double updateRates(int tenant, double passed);

  const EngineSettings& settings_;
  const StoreModules& stores_;
  bool isHeld_ = false;
  std::vector<StatementState>& statements_;
  std::vector<std::vector<int>> waiting_;  // of each group, without outstanding attempts
  std::vector<TenantUsage> tenants_;
  double allQuotas_ = 0;  // statements a second
  TimePoint tenantsCountedAt_ = kNever;
  std::vector<int> stillWaiting_;  // after the dispatch under way
  std::vector<char> isBlocked_;    // in this round, of each workload: no store takes its reads
};

}  // namespace reedchute

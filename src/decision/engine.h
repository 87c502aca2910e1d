// The decision engine: turns events about statements, stores and the endpoint list into decisions.
//
// Construct an engine with its settings, report the events of a round in the order in which they
// arrived, then call `decide` once; all decisions are written to the sink. An engine does no I/O,
// reads no clock and shares no state with other engines; equal settings and events give equal
// decisions. Not thread-safe.
//
// The engine defines the order of a round and forwards events to the modules. Each mechanism is a
// module of its own: docs/decision-modules.md.
#pragma once

#include <vector>

#include "base/time.h"
#include "decision/admission.h"
#include "decision/probe_scheduler.h"
#include "decision/random.h"
#include "decision/replica_selection.h"
#include "decision/retry_policy.h"
#include "decision/statement_actions.h"
#include "decision/store_modules.h"
#include "decision/types.h"

namespace reedchute {

class DecisionEngine {
 public:
  // Throws std::invalid_argument if a required setting is missing or out of range.
  DecisionEngine(EngineSettings settings, TimePoint now);
  DecisionEngine(const DecisionEngine&) = delete;
  DecisionEngine& operator=(const DecisionEngine&) = delete;

  // The endpoint list: a snapshot begins, its endpoints are added, it ends. A whole snapshot
  // contains all endpoints, any other one only those that changed. `polled`: the snapshot is the
  // response to a poll, which resets the backoff between polls.
  void beginSnapshot(bool whole);
  void addEndpoint(const EndpointInfo& endpoint, TimePoint now);
  void endSnapshot(bool polled);
  // Drops all state of the store; its index may be reused for another store from now on.
  // Precondition: no attempt is outstanding at the store, and no open statement was sent to it.
  void removeEndpoint(int store, TimePoint now);
  void onDiscoveryFailed(TimePoint now);

  // Statements are identified by ids that the caller assigns; the id of a statement that has ended
  // may be reused.
  void onStatementArrived(int id, const Arrival& arrival, TimePoint now);
  void onAttemptEnded(int id, const AttemptResult& result, TimePoint now);
  void onClientClosed(int id);
  // Until releaseStatements(), statements are queued and given up at their deadlines, but none is
  // sent.
  void holdStatements() { admission_.hold(); }
  void releaseStatements(TimePoint now) { admission_.release(now); }

  // The probe was not sent, because this proxy lacked the capacity for it.
  void onProbeNotSent(int store, TimePoint now);
  // `role` is the store's role according to the response itself, independent of `report`.
  void onProbeEnded(int store, bool ok, const ReplicaReport& report, TimePoint now,
                    Role role = Role::unknown);

  void onWake();
  // The wall clock, which positions are expressed in, was set ahead by `ahead`, or back if it is
  // negative.
  void onClockStepped(Duration ahead);
  // Sets the share of the zone's usual traffic that this proxy sends to the zone's replicas, and
  // whether it may probe those that are unreachable; the defaults are 1 and true. The share is a
  // factor of a replica's weight; writes are sent to their primary regardless. The stores of a zone
  // whose share was 0 count as started at `now`.
  void setZoneShare(int zone, double share, bool mayProbe, TimePoint now);

  // The slow starts of all cold stores, ordered by store.
  std::vector<SlowStartStatus> slowStarts(TimePoint now) const;

  // Ends a round: called once, after the events of the round.
  void decide(TimePoint now, DecisionSink& sink);

 private:
  void resetStore(int store, TimePoint now);
  void ensureGroup(int group);
  double drawSlowStartDebt();
  void onStoreStarted(int store, StartEvidence evidence, TimePoint now);
  void onStoreResponsive(int store, StartEvidence evidence, TimePoint now);
  void observeRole(int store, const RoleObservation& observation, TimePoint now);
  void observePosition(int store, const PositionReport& report, Duration reportAge, TimePoint now);
  void learnFromAttempt(const StatementState& statement, const Attempt& attempt,
                        const AttemptResult& result, TimePoint now);
  void learnFromResponse(const StatementState& statement, const Attempt& attempt,
                         const AttemptResult& result, TimePoint now);
  void learnFromReport(int store, const ReplicaReport& report, TimePoint now);
  void continueStatement(StatementState& statement, const AttemptResult& result, TimePoint now);
  void measureThroughput(TimePoint now);
  void refillBudget(int store, TimePoint now);
  void refreshStores(TimePoint now);
  void releaseIdleConnections(const Round& round);
  void scheduleWake(const Round& round);

  EngineSettings settings_;
  RandomSource random_;
  StoreModules stores_;
  ProbeScheduler probes_;
  ReplicaSelection selection_;
  StatementActions actions_;
  RetryPolicy retries_;
  std::vector<StatementState> statements_;
  Admission admission_;
  std::vector<int> openStatements_;      // ids of those without a final response, oldest first
  std::vector<int> endedAttemptStores_;  // stores at which attempts ended in this round
  TimePoint wakeAt_ = kNever;
  TimePoint throughputMeasuredAt_ = kNever;
};

}  // namespace reedchute

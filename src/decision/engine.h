// The decision engine: from facts about statements, stores and the endpoint list to decisions.
//
// Build an engine with its settings, feed it the facts of a round in the order in which they came
// in, then call `decide` once; all decisions go straight into the sink. An engine does no I/O,
// reads no clock and shares nothing with any other; equal settings and facts give equal decisions.
// It is used by one thread.
//
// The engine holds the order of a round and passes facts on. Each mechanism is a module of its own:
// docs/decision-modules.md.
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
  // Throws std::invalid_argument where a setting that it can't do without is missing or makes no
  // sense.
  DecisionEngine(EngineSettings settings, TimePoint now);
  DecisionEngine(const DecisionEngine&) = delete;
  DecisionEngine& operator=(const DecisionEngine&) = delete;

  // The endpoint list. A whole snapshot holds all endpoints, another one changes alone.
  void beginSnapshot(bool whole);
  void addEndpoint(const EndpointInfo& endpoint, TimePoint now);
  void endSnapshot(bool polled);
  // The caller holds nothing of the store any more: no attempt is outstanding at it, no open
  // statement was sent to it. Its index may be another's from now on.
  void removeEndpoint(int store, TimePoint now);
  void onDiscoveryFailed(TimePoint now);

  // Statements are named by the ids that the caller gives them; an id may be used again.
  void onStatementArrived(int id, const Arrival& arrival, TimePoint now);
  void onAttemptEnded(int id, const AttemptResult& result, TimePoint now);
  void onClientClosed(int id);
  // Until they are released, statements wait and are given up in their time, but none is sent.
  void holdStatements() { admission_.hold(); }
  void releaseStatements(TimePoint now) { admission_.release(now); }

  // The probe never left this proxy, for want of room here.
  void onProbeNotSent(int store, TimePoint now);
  // `role` is what the response itself says of its store, whatever its report does.
  void onProbeEnded(int store, bool ok, const ReplicaReport& report, TimePoint now,
                    Role role = Role::unknown);

  void onWake();
  // The clock that positions are told in was set ahead by this, or back where it is below zero.
  void onClockStepped(Duration ahead);
  // How much of a zone's usual traffic this proxy brings its replicas, and whether it may probe
  // those that are away; all and yes until this is called. The share is a factor in the weight;
  // writes follow their primary all the same. A zone that had no share counts as started just now.
  void setZoneShare(int zone, double share, bool mayProbe, TimePoint now);

  // Ends a round: call it once, after the round's facts.
  void decide(TimePoint now, DecisionSink& sink);

 private:
  void resetStore(int store, TimePoint now);
  void ensureGroup(int group);
  void onStoreStarted(int store, TimePoint now);
  void onStoreResponsive(int store, TimePoint now);
  void observeRole(int store, const RoleObservation& observation, TimePoint now);
  void observePosition(int store, const PositionReport& report, Duration reportAge, TimePoint now);
  void learnFromAttempt(const StatementState& statement, const Attempt& attempt,
                        const AttemptResult& result, TimePoint now);
  void learnFromResponse(const StatementState& statement, const Attempt& attempt,
                         const AttemptResult& result, TimePoint now);
  void learnFromReport(int store, const ReplicaReport& report, TimePoint now);
  void continueStatement(StatementState& statement, const AttemptResult& result, TimePoint now);
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
  std::vector<int> open_;      // statements without their final response, oldest first
  std::vector<int> returned_;  // stores at which attempts ended in this round
  TimePoint wakeAt_ = kNever;
};

}  // namespace reedchute

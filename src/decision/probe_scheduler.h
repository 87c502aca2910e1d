// When each store is probed.
//
// Owns which probes are in flight, when each store is due for its next one, the period in which
// stores renew their reports, and the budget of probes, which bounded reads earn. A store whose
// report is expected to be renewed is due right after that; a store that lags is due later.
#pragma once

#include <utility>
#include <vector>

#include "base/time.h"
#include "decision/decaying_rate.h"
#include "decision/random.h"
#include "decision/types.h"

namespace reedchute {

class ReplicaSelection;
struct StoreModules;

class ProbeScheduler {
 public:
  ProbeScheduler(const EngineSettings& settings, const StoreModules& stores);

  void reset(int store);
  void ensureGroup(int group);

  bool isProbing(int store) const { return isProbing_[store]; }
  // When the store was last probed.
  TimePoint sentAt(int store) const { return sentAt_[store]; }
  bool isDue(int store, TimePoint now) const { return dueAt_[store] <= now; }
  // How old the position in a report may be merely because reports are renewed now and then.
  Duration reportAge() const { return refreshPeriod_ + youngestReport_; }

  void onStatementArrived(const StatementState& statement, bool isRetry, TimePoint now);
  void onProbeNotSent(int store, TimePoint now);
  void onProbeEnded(int store) { isProbing_[store] = 0; }
  // `isUnreachable`: more than one probe shows that the store is away.
  void onProbeFailed(int store, bool isUnreachable, TimePoint now);
  void onReport(int store, TimePoint position, TimePoint now);
  // The clock of positions was set ahead: positions count as older by this.
  void onClockStepped(Duration older);
  // A store that lags this far, or stands still, is due after a part of its lag, but no earlier
  // than `least`.
  void deferByLag(int store, Duration lag, Duration least, TimePoint now);
  // The store is due after the longest time between two probes.
  void deferLong(int store, TimePoint now);

  // Sends the probes of a group that are due and of use for the statements that wait. Runs before
  // reads are routed, which may await the response.
  void schedule(int group, const std::vector<int>& waiting,
                const std::vector<StatementState>& statements, const ReplicaSelection& selection,
                RandomSource& random, const Round& round);

 private:
  // What the statements that wait need.
  struct Demand {
    const StatementState* firstBounded = nullptr;
    double boundedReads = 0;       // that wait
    bool searchesPrimary = false;  // a write or fresh read waits, and no primary is usable
  };
  struct Candidate {
    Duration supposedLag;
    int store = -1;
  };

  Demand demandOf(int group, const std::vector<int>& waiting,
                  const std::vector<StatementState>& statements, TimePoint now) const;
  double wantedReplicas(int group, const Demand& demand, const ReplicaSelection& selection,
                        TimePoint now) const;
  // Fills `candidates_` and probes stores that are away; returns how many replicas are measured.
  double collectCandidates(int group, const Demand& demand, const ReplicaSelection& selection,
                           const Round& round);
  bool isMeasured(int store, bool isPrimary, TimePoint now) const;
  bool isWorthProbing(int store, bool isPrimary, const Demand& demand, TimePoint now) const;
  bool isFirstProbe(int store) const;
  Duration supposedLag(int store, bool isHost) const;
  void probe(int store, const Round& round);

  const EngineSettings& settings_;
  const StoreModules& stores_;
  const bool manyProxies_;
  const Duration smallestBound_;
  const double earnedPerRead_;
  std::vector<char> isProbing_;
  std::vector<TimePoint> sentAt_;
  std::vector<TimePoint> dueAt_;
  std::vector<TimePoint> answeredAt_;       // when a probe was last answered
  std::vector<TimePoint> reportPosition_;   // of the newest report
  std::vector<TimePoint> renewalAt_;        // when the report is renewed next
  std::vector<DecayingRate> boundedReads_;  // of each group, a second
  Duration refreshPeriod_;
  Duration youngestReport_;  // the age at which reports can first be seen
  double budget_ = 0;        // probes
  std::vector<Candidate> candidates_;
};

}  // namespace reedchute

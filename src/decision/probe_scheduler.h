// Decides when each store is probed.
//
// Owns the probes in flight, the time at which each store is due for its next one, the period in
// which stores renew their reports, and the probe budget, which bounded reads earn. A store is due
// right after its report is expected to be renewed; a store that lags is due later.
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
  // The age that a report's position may have merely because reports are renewed periodically.
  Duration reportAge() const { return refreshPeriod_ + minReportAge_; }

  void onStatementArrived(const StatementState& statement, bool isRetry, TimePoint now);
  void onProbeNotSent(int store, TimePoint now);
  void onProbeEnded(int store) { isProbing_[store] = 0; }
  // `isUnreachable`: the failed probes suffice to consider the store unreachable.
  void onProbeFailed(int store, bool isUnreachable, TimePoint now);
  void onReport(int store, TimePoint position, TimePoint now);
  // The clock of positions was stepped forward: positions count as older by `older`.
  void onClockStepped(Duration older);
  // Defers the probe of a store that lags, or whose position doesn't advance, by a fraction of its
  // lag, but by at least `least` and at most the longest time between two probes.
  void deferByLag(int store, Duration lag, Duration least, TimePoint now);
  // Defers the probe of a store by the longest time between two probes.
  void deferLong(int store, TimePoint now);

  // Sends the probes of a group that are due and help the waiting statements. `waiting` contains
  // ids, which index `statements`. Runs before reads are routed, because these may wait for the
  // response.
  void schedule(int group, const std::vector<int>& waiting,
                const std::vector<StatementState>& statements, const ReplicaSelection& selection,
                RandomSource& random, const Round& round);

 private:
  // What the waiting statements of a group need.
  struct Demand {
    const StatementState* firstBounded = nullptr;
    double boundedReads = 0;       // number of waiting ones
    bool searchesPrimary = false;  // a write or fresh read waits, and no primary is usable
  };
  struct Candidate {
    Duration assumedLag;
    int store = -1;
  };

  Demand demandOf(int group, const std::vector<int>& waiting,
                  const std::vector<StatementState>& statements, TimePoint now) const;
  double wantedReplicas(int group, const Demand& demand, const ReplicaSelection& selection,
                        TimePoint now) const;
  // Sets `candidates_` and probes stores that refused a connection. Returns the number of replicas
  // that are measured (isMeasured) or being probed.
  double collectCandidates(int group, const Demand& demand, const ReplicaSelection& selection,
                           const Round& round);
  bool isMeasured(int store, bool isPrimary, TimePoint now) const;
  bool isWorthProbing(int store, bool isPrimary, const Demand& demand, TimePoint now) const;
  bool isFirstProbe(int store) const;
  Duration assumedLag(int store, bool servesLongReads) const;
  void probe(int store, const Round& round);

  const EngineSettings& settings_;
  const StoreModules& stores_;
  const bool manyProxies_;
  const Duration smallestBound_;
  const double earnedPerRead_;
  std::vector<char> isProbing_;
  std::vector<TimePoint> sentAt_;
  std::vector<TimePoint> dueAt_;
  std::vector<TimePoint> answeredAt_;       // when a probe last delivered a position
  std::vector<TimePoint> reportPosition_;   // of the newest report
  std::vector<TimePoint> renewalAt_;        // when the report is renewed next
  std::vector<DecayingRate> boundedReads_;  // rate per second, for each group
  Duration refreshPeriod_;
  Duration minReportAge_;  // the least age that a report has when it arrives
  double budget_ = 0;      // probes
  std::vector<Candidate> candidates_;
};

}  // namespace reedchute

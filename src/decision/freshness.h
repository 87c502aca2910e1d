// Decides whether a store's data is fresh enough for a statement.
//
// Owns the replication log positions of stores, the flags that drain a replica for a workload while
// its lag is at or above the workload's staleness bound, and the last commit of each session. A
// position is the time up to which a store has all commits. A store without a known position counts
// as drained.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "decision/types.h"

namespace reedchute {

// A position that a store sent, and when it was requested from the store.
struct PositionReport {
  TimePoint position;
  TimePoint requestedAt;
  // The position is that of the response itself, not of a report that was made earlier.
  bool isOfResponse = false;
};

class Freshness {
 public:
  Freshness(const EngineSettings& settings, Duration smallestBound);

  void reset(int store, TimePoint now);
  // The store's process has restarted, perhaps with older data: its position is unknown until the
  // new process reports one.
  void onRestarted(int store, TimePoint now);
  // A connection to the store broke or was refused, so another process may answer from now on.
  void onConnectionLost(int store, TimePoint now) { sameProcessSince_[store] = now; }

  // Records a position. Ignores one that was requested before the store restarted, or is older than
  // the known position, unless that shows that the store has restarted unnoticed. `reportAge` is
  // the age that the position may have merely because reports are renewed periodically. Returns
  // true if the replica lags so far that its concurrency limit should be cut.
  bool onPosition(int store, const PositionReport& report, Duration reportAge, TimePoint now);
  TimePoint position(int store) const { return position_[store]; }
  bool hasPosition(int store) const { return position_[store] > kNever; }
  bool isDrained(int store, int workload) const { return drained_[store][workload]; }
  // True if the replica lags too far for every bounded workload.
  bool isDrainedForAllBounds(int store) const;
  // True if the lag is low enough to readmit a drained replica for the smallest bound.
  bool isWellWithinBounds(int store, TimePoint now) const {
    return now - position_[store] < readmitBelow_;
  }
  // When the replica was last readmitted for the workload after it was drained.
  TimePoint readmittedAt(int store, int workload) const { return readmittedAt_[store][workload]; }
  // True if the replica is known to be fresh enough for the statement, if it is sent now: for its
  // workload's level, and for the read that it continues.
  bool isFreshEnough(int store, const StatementState& statement, TimePoint now) const;
  // True if the replica's data is known to be no older than that of the read which the statement
  // continues, or if it continues none.
  bool hasReachedPrecedingRead(int store, const StatementState& statement) const;
  // True if only what this process knows of a store keeps the statement's data from being too old.
  // Stores that reject stale reads know the level of a read, but not which read it continues.
  bool reliesOnKnownFreshness(const StatementState& statement) const;

  // The position that a store must have reached before it may answer this read.
  TimePoint requiredPosition(const Arrival& arrival, TimePoint now) const;
  // Records a session's last commit, for reads that don't carry a session token.
  void onCommit(std::uint64_t session, TimePoint position);

  // The clock by which positions are expressed was stepped forward by `ahead` (backward if
  // negative). Positions count as the older of both readings. Last commits are compared only with
  // positions and move with the clock.
  void onClockStepped(Duration ahead);

 private:
  bool showsOlderProcess(int store, const PositionReport& report) const;
  bool meetsLevel(int store, const StatementState& statement, TimePoint now) const;

  const EngineSettings& settings_;
  const Duration readmitBelow_;  // lag below which a replica is readmitted for the smallest bound
  std::vector<TimePoint> position_;
  std::vector<TimePoint> learnedAt_;  // when `position_` was recorded
  std::vector<TimePoint> restartedAt_;
  std::vector<TimePoint> sameProcessSince_;  // since when nothing has shown that it may have ended
  std::vector<std::vector<char>> drained_;   // a flag for each workload
  std::vector<std::vector<TimePoint>> readmittedAt_;  // a time for each workload
  std::unordered_map<std::uint64_t, TimePoint> lastCommits_;
  TimePoint commitFloor_ = kNever;  // assumed last commit of sessions without an entry
};

}  // namespace reedchute

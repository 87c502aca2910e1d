// What is known of the age of each store's data, and which data each statement needs.
//
// Owns the positions of stores, the flags that drain a replica for a workload while its lag is at
// the workload's bound or above, and the last commits of sessions. A position is the time up to
// which a store has all commits. A store without a known position counts as drained.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "decision/types.h"

namespace reedchute {

// A position as a store has told it, and when the store was asked.
struct PositionReport {
  TimePoint position;
  TimePoint askedAt;
};

class Freshness {
 public:
  Freshness(const EngineSettings& settings, Duration smallestBound);

  void reset(int store);
  // The store has started again, perhaps with older data: no position is known until it is told
  // by the process that runs now.
  void onRestarted(int store, TimePoint now);

  // Learns a position; an older one than is known changes nothing, nor does one that was asked for
  // before the store started again. `reportAge` is how old the position may be merely by the way it
  // came. True where the replica falls behind so far that it should be sent less.
  bool onPosition(int store, const PositionReport& report, Duration reportAge, TimePoint now);
  TimePoint position(int store) const { return position_[store]; }
  bool hasPosition(int store) const { return position_[store] > kNever; }
  bool isDrained(int store, int workload) const { return drained_[store][workload]; }
  // True where the replica is too far behind for every bounded workload.
  bool isDrainedForAllBounds(int store) const;
  // True where the position would let the replica return for the smallest bound.
  bool isWellWithinBounds(int store, TimePoint now) const {
    return now - position_[store] < returnBelow_;
  }
  // When the replica was last taken back for the workload.
  TimePoint returnedAt(int store, int workload) const { return returnedAt_[store][workload]; }
  // True where the replica is known to be fresh enough for the statement, if it is sent now.
  bool suffices(int store, const StatementState& statement, TimePoint now) const;

  // The position that a store must have reached before it may answer this read.
  TimePoint requiredPosition(const Arrival& arrival, TimePoint now) const;
  // Remembers a session's last commit, where reads don't carry it themselves.
  void onCommit(std::uint64_t session, TimePoint position);

  // The clock of positions was set ahead by `ahead`, or back where it is below zero. Positions
  // count as the older of both readings. Last commits are compared with positions alone and move
  // with the clock.
  void onClockStepped(Duration ahead);

 private:
  const EngineSettings& settings_;
  const Duration returnBelow_;  // the lag at which a replica returns for the smallest bound
  std::vector<TimePoint> position_;
  std::vector<TimePoint> restartedAt_;
  std::vector<std::vector<char>> drained_;          // a flag a workload
  std::vector<std::vector<TimePoint>> returnedAt_;  // a time a workload
  std::unordered_map<std::uint64_t, TimePoint> lastCommits_;
  TimePoint commitFloor_ = kNever;  // counts as the last commit of sessions that are not remembered
};

}  // namespace reedchute

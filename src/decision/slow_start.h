// Slow start: a store that has just started gets an increasing share of its usual traffic.
//
// Owns the start time of each store, the budget of statements that may be sent to a cold store, and
// the rate of work that arrives for each group. The budget is counted in statements of mean work.
//
// The endpoint list contains start times by the wall clocks of other machines. If this process's
// clock may differ (`listedStartsNeedProof`), a listed start counts from when it was first
// received, or from as far back as the positions of stores prove.
#pragma once

#include <vector>

#include "base/time.h"
#include "decision/clock_skew.h"
#include "decision/decaying_rate.h"
#include "decision/random.h"
#include "decision/types.h"

namespace reedchute {

class SlowStart {
 public:
  // `skew` is not owned and must outlive this object.
  SlowStart(const EngineSettings& settings, const ClockSkew& skew, Duration rateMemory);

  void reset(int store, TimePoint now);
  void ensureGroup(int group);

  // The endpoint list contains a start of the store, at `listedAt` by this process's wall clock.
  // Returns false if it is already known, or if a later start was observed.
  bool onListedStart(int store, TimePoint listedAt, RandomSource& random, TimePoint now);
  // The store was found to have started just now.
  void onObservedStart(int store, RandomSource& random, TimePoint now);
  // The latest start of the store, or kNever if none is known.
  TimePoint startedAt(int store) const;
  // The wall clock was stepped forward by `ahead` (backward if negative).
  void onClockStepped(Duration ahead);

  // The share of its usual traffic that the store may get, from coldInitialShare up to 1.
  double warmth(int store, TimePoint now) const {
    return hasWarmedUp(store, now) ? 1 : coldShare(store, now);
  }
  bool isWarm(int store, TimePoint now) const {
    return hasWarmedUp(store, now) || warmth(store, now) >= 1;
  }
  bool hasBudget(int store, TimePoint now) const;

  void onStatementArrived(int group, Duration work, TimePoint now);
  // `statements` is the work of the attempt sent, in statements of mean work.
  void onSent(int store, double statements, TimePoint now);
  // Adds to the budget of a cold store what it has earned since it was last refilled.
  void refill(int store, int group, int groupSize, double meanWork, TimePoint now);

 private:
  struct Start {
    TimePoint listedAt = kNever;    // by this process's wall clock
    TimePoint receivedAt = kNever;  // when it was first in the endpoint list
    TimePoint observedAt = kNever;
  };

  bool hasWarmedUp(int store, TimePoint now) const {
    return now - startedAt(store) >= settings_.warmUpTime;
  }

  double coldShare(int store, TimePoint now) const;
  void resetBudget(int store, RandomSource& random, TimePoint now);

  const EngineSettings& settings_;
  const ClockSkew& skew_;
  const Duration rateMemory_;
  std::vector<Start> starts_;
  std::vector<double> budget_;
  std::vector<TimePoint> filledAt_;
  std::vector<DecayingRate> groupWork_;  // seconds of store time per second
};

}  // namespace reedchute

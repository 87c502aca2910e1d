// Slow start: a store that has just started gets a growing share of its usual traffic.
//
// Owns the age of each store, the budget of statements that a cold store may be sent, and the work
// that each group is offered. The budget is counted in statements of mean work.
#pragma once

#include <vector>

#include "base/time.h"
#include "decision/decaying_rate.h"
#include "decision/random.h"
#include "decision/types.h"

namespace reedchute {

class SlowStart {
 public:
  SlowStart(const EngineSettings& settings, Duration rateMemory);

  void reset(int store, TimePoint now);
  void ensureGroup(int group);

  // Takes the store as started at `startedAt`. Returns false where a later start is known.
  bool begin(int store, TimePoint startedAt, RandomSource& random, TimePoint now);
  TimePoint startedAt(int store) const { return startedAt_[store]; }

  // From the initial share of a cold store up to 1.
  double warmth(int store, TimePoint now) const {
    return hasWarmedUp(store, now) ? 1 : coldShare(store, now);
  }
  bool isWarm(int store, TimePoint now) const {
    return hasWarmedUp(store, now) || warmth(store, now) >= 1;
  }
  bool hasBudget(int store, TimePoint now) const;

  void onStatementArrived(int group, Duration work, TimePoint now);
  // `statements` is the work of what was sent, in statements of mean work.
  void onSent(int store, double statements, TimePoint now);
  // Fills the budget of a store that isn't warm by the time since it was last filled.
  void refill(int store, int group, int groupSize, double meanWork, TimePoint now);

 private:
  bool hasWarmedUp(int store, TimePoint now) const {
    return startedAt_[store] == kNever || now - startedAt_[store] >= settings_.warmUpTime;
  }

  double coldShare(int store, TimePoint now) const;

  const EngineSettings& settings_;
  const Duration rateMemory_;
  std::vector<TimePoint> startedAt_;
  std::vector<double> budget_;
  std::vector<TimePoint> filledAt_;
  std::vector<DecayingRate> groupWork_;  // store seconds a second
};

}  // namespace reedchute

// Slow start: a store that has just started gets an increasing share of its usual traffic.
//
// Owns the start time of each store and the budget of statements that may be sent to a cold store.
// The budget is counted in statements of mean work, and earned as a share of what a warm store of
// its group completes (throughput.h).
//
// Processes don't know each other's traffic. Each limits itself to its own share, so that in any
// window all of them together send no more than a cold store bears, whatever the demand: what a
// process earns in the window and what it has kept from before. What it doesn't use in some time
// expires.
//
// The endpoint list contains start times by the wall clocks of other machines. If this process's
// clock may differ (`listedStartsNeedProof`), a listed start counts from when it was first
// received, or from as far back as the positions of stores prove.
#pragma once

#include <optional>
#include <vector>

#include "base/time.h"
#include "decision/clock_skew.h"
#include "decision/types.h"

namespace reedchute {

// Statements of mean work per second, as this process measures them.
struct CompletionRates {
  double warmMember = 0;  // completed by a warm store of the store's size
  double group = 0;       // completed by all members of its group
};

class SlowStart {
 public:
  // `skew` is not owned and must outlive this object.
  SlowStart(const EngineSettings& settings, const ClockSkew& skew);

  void reset(int store, TimePoint now);

  // The endpoint list contains a start of the store, at `listedAt` by this process's wall clock.
  // Returns false if it is already known, or if a later start was observed. `debt` is what this
  // process owes if the store was warm: a random part of the work of a random statement, in
  // statements of mean work.
  bool onListedStart(int store, TimePoint listedAt, double debt, TimePoint now);
  // The store was found to have started just now; `debt` as above.
  void onObservedStart(int store, StartEvidence evidence, double debt, TimePoint now);
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
  // Whether the store may be sent an attempt with the work of `statements` statements of mean work.
  // `hasAlternative`: a warm store could receive it instead.
  bool mayReceive(int store, double statements, bool hasAlternative, TimePoint now) const;
  // Factor of the weight of a store: above 1 if it is cold, and its budget soon expires.
  double preference(int store, TimePoint now) const;

  // `statements` is the work of the attempt sent, in statements of mean work.
  void onSent(int store, double statements, TimePoint now);
  // The slow start of a store; only while it is cold.
  std::optional<SlowStartStatus> status(int store, TimePoint now) const;
  // Adds to the budget of a cold store what it has earned since it was last refilled. `isPrimary`:
  // it is the only member that executes writes.
  void refill(int store, const CompletionRates& rates, bool isPrimary, TimePoint now);

 private:
  struct Start {
    TimePoint listedAt = kNever;    // by this process's wall clock
    TimePoint receivedAt = kNever;  // when it was first in the endpoint list
    TimePoint observedAt = kNever;
    StartEvidence evidence = StartEvidence::listed;
  };

  // Statements of mean work since the last start.
  struct Totals {
    int starts = 0;
    double allowed = 0;
    double sent = 0;
  };

  bool hasWarmedUp(int store, TimePoint now) const {
    return now - startedAt(store) >= settings_.warmUpTime;
  }

  // Statements of mean work per second that a warm store completes.
  struct WarmRate {
    std::optional<double> atStart;  // as the store started
    double present = 0;
  };

  // What a process may send to a cold store.
  struct Allowance {
    double perSecond = 0;
    double atOnce = 0;   // statements
    double largest = 0;  // statements: the most work of an attempt that a warm store could receive
  };

  void expectHeld(int store, double groupRate);
  void onHeld(int store, double windows);
  double coldShare(int store, TimePoint now) const;
  Allowance allowanceFor(int store, bool isPrimary, TimePoint now) const;
  void onStarted(int store, bool wasWarm, double debt, TimePoint now);

  const EngineSettings& settings_;
  const ClockSkew& skew_;
  std::vector<Start> starts_;
  std::vector<double> budget_;
  std::vector<TimePoint> filledAt_;
  std::vector<TimePoint> earningSince_;  // when the budget was last empty
  std::vector<WarmRate> warmRate_;
  std::vector<double> heldWindows_;  // for how many windows budget is held until used or expired
  std::vector<Allowance> allowances_;
  std::vector<Totals> totals_;
};

}  // namespace reedchute

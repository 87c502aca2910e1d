// Lifeguard's local health: how far this process may believe what it finds out about others. A
// process that is slow or was paused finds everybody else silent.
#pragma once

#include "base/time.h"

namespace reedchute::membership {

class LocalHealth {
 public:
  explicit LocalHealth(Duration period) : period_(period) {}

  void onProbeAnswered();
  void onProbeFailed();
  // Others suspect this process, or have declared it dead.
  void onSuspected(TimePoint now);
  // The process itself stood still.
  void onPaused(TimePoint now);

  int score() const { return score_; }  // 0: healthy; each point makes probes slower
  bool isDegraded(TimePoint now) const;
  // The protocol period and the probe timeouts of a process in this state.
  Duration scaledPeriod() const;

 private:
  void raiseScore();

  Duration period_;
  int score_ = 0;
  TimePoint degradedUntil_ = kNever;
};

}  // namespace reedchute::membership

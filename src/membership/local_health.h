// Lifeguard's local health: how reliable this process's own failure detection is. To a process that
// is slow or was paused, all other members appear unresponsive.
#pragma once

#include "base/time.h"

namespace reedchute::membership {

class LocalHealth {
 public:
  explicit LocalHealth(Duration period) : period_(period) {}

  void onProbeAnswered();
  void onProbeFailed();
  // Other members suspect this process or have declared it dead.
  void onSuspected(TimePoint now);
  // This process was paused.
  void onPaused(TimePoint now);

  int score() const { return score_; }  // 0: healthy; each point slows down probing
  bool isDegraded(TimePoint now) const;
  // The protocol period at the current score; probe timeouts are multiples of it.
  Duration scaledPeriod() const;

 private:
  void raiseScore();

  Duration period_;
  int score_ = 0;
  TimePoint degradedUntil_ = kNever;
};

}  // namespace reedchute::membership

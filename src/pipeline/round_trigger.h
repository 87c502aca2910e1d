// Asks the scheduler for another decision round once the engine has new facts to decide on.
#pragma once

#include "runtime/scheduler.h"

namespace reedchute::pipeline {

class RoundTrigger {
 public:
  explicit RoundTrigger(runtime::Scheduler& scheduler) : scheduler_(scheduler) {}

  // Called with every event that is passed to the engine.
  void request() {
    isRequested_ = true;
    scheduler_.requestAnotherRound();
  }
  bool isRequested() const { return isRequested_; }
  void onRoundEnded() { isRequested_ = false; }

 private:
  runtime::Scheduler& scheduler_;
  bool isRequested_ = false;
};

}  // namespace reedchute::pipeline

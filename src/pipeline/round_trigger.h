// Requests another decision round from the scheduler when the engine has received new events.
#pragma once

#include "runtime/scheduler.h"

namespace reedchute::pipeline {

class RoundTrigger {
 public:
  explicit RoundTrigger(runtime::Scheduler& scheduler) : scheduler_(scheduler) {}

  // To be called for every event that is passed to the engine.
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

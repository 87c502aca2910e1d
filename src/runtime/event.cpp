#include "runtime/event.h"

#include <utility>

namespace reedchute::runtime {

Event::~Event() {
  if (hasTimer_) scheduler_.timers_.erase(timer_);
  if (queued_) std::erase(scheduler_.ready_, queued_);
}

void Event::set() {
  if (waiter_)
    wake(false);
  else
    isSet_ = true;
}

void Event::wake(bool timedOut) {
  if (hasTimer_) {
    scheduler_.timers_.erase(timer_);
    hasTimer_ = false;
  }
  timedOut_ = timedOut;
  queued_ = std::exchange(waiter_, {});
  scheduler_.ready_.push_back(queued_);
}

bool Event::Wait::await_ready() {
  event.timedOut_ = false;
  if (std::exchange(event.isSet_, false)) return true;
  if (until > event.scheduler_.now()) return false;
  event.timedOut_ = true;
  return true;
}

void Event::Wait::await_suspend(std::coroutine_handle<> waiter) {
  event.waiter_ = waiter;
  event.queued_ = {};
  if (until >= kForever) return;
  std::pair key{until, event.scheduler_.timerSequence_++};
  event.timer_ = event.scheduler_.timers_.emplace(key, &event).first;
  event.hasTimer_ = true;
}

Task<> sleepUntil(Scheduler& scheduler, TimePoint until) {
  Event neverSet(scheduler);
  co_await neverSet.wait(until);
}

}  // namespace reedchute::runtime

// What a coroutine waits for: a flag that another part sets, or a time. Belongs to one scheduler
// and its thread.
#pragma once

#include <coroutine>

#include "base/time.h"
#include "runtime/scheduler.h"

namespace reedchute::runtime {

// An auto-reset event with at most one waiter. If it is set while nobody waits, the next wait
// returns at once.
class Event {
 public:
  explicit Event(Scheduler& scheduler) : scheduler_(scheduler) {}
  ~Event();
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;

  void set();

  // co_await event.wait(until): true when the event was set, false when the time came first.
  struct Wait {
    Event& event;
    TimePoint until;
    bool await_ready();
    void await_suspend(std::coroutine_handle<> waiter);
    bool await_resume() {
      event.queued_ = {};
      return !event.timedOut_;
    }
  };
  Wait wait(TimePoint until = kForever) { return {*this, until}; }

 private:
  friend class Scheduler;
  void wake(bool timedOut);

  Scheduler& scheduler_;
  std::coroutine_handle<> waiter_;  // suspended in wait()
  std::coroutine_handle<> queued_;  // woken, but not resumed yet
  bool isSet_ = false;
  bool timedOut_ = false;
  bool hasTimer_ = false;
  Scheduler::Timers::iterator timer_;
};

// Waits for a time and nothing else.
Task<> sleepUntil(Scheduler& scheduler, TimePoint until);

}  // namespace reedchute::runtime

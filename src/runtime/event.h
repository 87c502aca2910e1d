// An event on which a coroutine waits until it is set or a time is reached. May only be used by the
// thread of its scheduler.
#pragma once

#include <coroutine>

#include "base/time.h"
#include "runtime/scheduler.h"

namespace reedchute::runtime {

// An auto-reset event with at most one waiter. If it is set while there is no waiter, the next wait
// returns immediately.
class Event {
 public:
  explicit Event(Scheduler& scheduler) : scheduler_(scheduler) {}
  ~Event();
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;

  void set();

  // co_await event.wait(until) yields true if the event was set, false if `until` came first.
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

// Suspends the caller until `until`.
Task<> sleepUntil(Scheduler& scheduler, TimePoint until);

}  // namespace reedchute::runtime

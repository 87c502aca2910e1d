// The event loop of one thread: runs coroutines on epoll events and timers, in rounds. A round
// handles the events that one wait on epoll returned: all coroutines that they wake run before the
// callback for the round's end. All members may only be used by the thread that runs the loop.
#pragma once

#include <coroutine>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <unordered_set>
#include <utility>

#include "base/time.h"
#include "runtime/task.h"
#include "runtime/wall_clock.h"

struct epoll_event;

namespace reedchute::runtime {

class Descriptor;
class Event;

class Scheduler {
 public:
  Scheduler();
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // The monotonic time at which this round's events were read.
  TimePoint now() const { return now_; }
  // The current monotonic time, for deadlines that must hold even if the round was delayed.
  TimePoint steadyNow() const;
  // Whether the round has lasted so long that further events may have arrived in the meantime.
  bool isRoundStale() const { return steadyNow() - now_ >= kStaleRound; }
  // Converts to and from wall-clock time, with the clock offset read when this round began.
  const WallClock& wallClock() const { return wallClock_; }
  // Calls `listener` at the beginning of a round, before any coroutine runs, if the wall clock was
  // changed by `minStep` or more. Its argument is positive if the clock was set forward, negative
  // if it was set back.
  void onClockStep(Duration minStep, std::function<void(Duration)> listener) {
    minClockStep_ = minStep;
    clockStepListener_ = std::move(listener);
  }

  // Starts a detached coroutine. It first runs after the caller has returned to the event loop.
  void spawn(Task<> task);

  // Runs rounds until stop(). Calls `onRoundEnd` once per round, after all coroutines that the
  // round woke have run.
  void run(const std::function<void()>& onRoundEnd);
  void stop() { isStopped_ = true; }
  // Runs one round, which waits for events at most until `until`.
  void runOnce(TimePoint until, const std::function<void()>& onRoundEnd);
  // Ensures that `onRoundEnd` is called soon: in the current round, or, if it was already called,
  // in another round that begins immediately.
  void requestAnotherRound() { anotherRoundRequested_ = true; }

 private:
  friend class Event;
  friend class Descriptor;

  static constexpr Duration kStaleRound{10'000};
  // Two rounds this far apart: the process slept for want of events, or was held up. It can't tell
  // which. Longer than the time between two wakes of the decision engine (eight ticks).
  static constexpr Duration kLongWait{50'000};

  struct Root;
  using Timers = std::map<std::pair<TimePoint, std::uint64_t>, Event*>;

  void readClock();
  void collectEvents(TimePoint until);
  Duration waitTime(TimePoint until) const;
  int waitForEvents(epoll_event* events, Duration maxWait);
  void applyEvents(const epoll_event* events, int count);
  bool watch(Descriptor& descriptor);
  void retryLater(Descriptor& descriptor);
  void runDueRetries();
  void fireTimers();
  void runReady();
  Root runRoot(Task<> task);

  int epoll_ = -1;
  WallClock wallClock_;
  TimePoint now_;
  // If the process may have been held up before it read this round's events: the time since which
  // they may have occurred. Otherwise kNever.
  TimePoint eventsSince_ = kNever;
  Duration minClockStep_;
  std::function<void(Duration)> clockStepListener_;
  bool isStopped_ = false;
  bool anotherRoundRequested_ = false;
  bool lacksEpollPwait2_ = false;  // the kernel or a system call filter refuses epoll_pwait2
  std::deque<std::coroutine_handle<>> ready_;
  Timers timers_;
  std::uint64_t timerSequence_ = 0;
  std::unordered_set<void*> roots_;           // coroutine frames of the spawned tasks
  std::map<Descriptor*, TimePoint> retries_;  // by descriptor that lacked memory: time of the retry
};

}  // namespace reedchute::runtime

// One thread's event loop: coroutines over epoll, timers, and rounds. A round is everything that
// one call of epoll brought; every coroutine that it wakes runs before the round's end is called.
// All members may only be used by the thread that runs the loop.
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
  // The monotonic time at this call, for deadlines that must hold even if the round was held up.
  TimePoint steadyNow() const;
  // Whether the round has lasted so long that events may have arrived which it does not know of.
  bool isRoundStale() const { return steadyNow() - now_ >= kStaleRound; }
  // Converts to and from wall-clock time, as the wall clock stood when this round began.
  const WallClock& wallClock() const { return wallClock_; }
  // Calls `listener` at the beginning of a round, before anything that it woke runs, when the wall
  // clock was set by `least` or more: positive when it was set ahead, negative when it was set
  // back.
  void onClockStep(Duration least, std::function<void(Duration)> listener) {
    leastClockStep_ = least;
    clockStepListener_ = std::move(listener);
  }

  // Starts a coroutine that nobody awaits; it runs once the caller gives up the thread.
  void spawn(Task<> task);

  // Runs rounds until stop(). `onRoundEnd` is called once a round, after everything that the round
  // woke has run.
  void run(const std::function<void()>& onRoundEnd);
  void stop() { isStopped_ = true; }
  // Runs one round, which waits for events until `until` at most.
  void runOnce(TimePoint until, const std::function<void()>& onRoundEnd);
  // Makes sure that a round ends soon: the present one, or, if its end was called already, a next
  // one that begins at once.
  void requestAnotherRound() { anotherRoundRequested_ = true; }

 private:
  friend class Event;
  friend class Descriptor;

  static constexpr Duration kStaleRound{10'000};

  struct Root;
  using Timers = std::map<std::pair<TimePoint, std::uint64_t>, Event*>;

  void readClock();
  void collectEvents(TimePoint until);
  Duration waitTime(TimePoint until) const;
  int waitForEvents(epoll_event* events, Duration most);
  void noteEvents(const epoll_event* events, int count);
  bool watch(Descriptor& descriptor);
  void retryLater(Descriptor& descriptor);
  void runDueRetries();
  void fireTimers();
  void runReady();
  Root runRoot(Task<> task);

  int epoll_ = -1;
  WallClock wallClock_;
  TimePoint now_;
  Duration leastClockStep_;
  std::function<void(Duration)> clockStepListener_;
  bool isStopped_ = false;
  bool anotherRoundRequested_ = false;
  bool lacksFineTimeout_ = false;  // epoll_pwait2 is refused on this machine
  std::deque<std::coroutine_handle<>> ready_;
  Timers timers_;
  std::uint64_t timerSequence_ = 0;
  std::unordered_set<void*> roots_;           // frames of the spawned coroutines
  std::map<Descriptor*, TimePoint> retries_;  // descriptors short of memory, and their next try
};

}  // namespace reedchute::runtime

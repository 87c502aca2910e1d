// One thread's scheduler: coroutines over epoll, timers, and rounds. A round is all that one epoll
// pass brought; every coroutine that it wakes runs before the round's end is called.
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

// Throws std::system_error with errno, and what couldn't be done.
[[noreturn]] void throwErrno(const char* what);

class Scheduler {
 public:
  Scheduler();
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // The time of this round, by the monotonic clock: all that had come by then is known to it, or
  // nearly so.
  TimePoint now() const { return now_; }
  // The same clock read at this instant: where a round may have been held up and what follows must
  // not be late.
  TimePoint instant() const;
  // Has this round gone on for so long, or been held up, that more may have come than it knows of?
  bool roundIsOld() const { return instant() - now_ >= kOldRound; }
  // Moments of the wall clock, as it stood when this round began.
  const WallClock& wall() const { return wall_; }
  // Told at the beginning of a round, before anything that it woke runs, when the wall clock has
  // been set by `least` or more since: by how much ahead, or below zero back.
  void onStep(Duration least, std::function<void(Duration)> tell) {
    leastStep_ = least, stepped_ = std::move(tell);
  }

  // Starts a coroutine that nobody awaits, after the caller gives up the thread.
  void spawn(Task<> task);

  // Runs rounds until stop(). `roundEnds` is called once a round, after all that the round woke has
  // run.
  void run(const std::function<void()>& roundEnds);
  void stop() { stopped_ = true; }
  // A round ends soon: the one that runs, or where its end has come already, the next, which begins
  // at once.
  void again() { again_ = true; }
  // One round that waits no longer than until then.
  void pass(TimePoint until, const std::function<void()>& roundEnds);

 private:
  friend class Event;
  friend class Descriptor;

  static constexpr Duration kOldRound{10'000};

  struct Root;
  using Timers = std::map<std::pair<TimePoint, std::uint64_t>, Event*>;

  void readClock();
  void wait(TimePoint until);
  int waitForEvents(epoll_event* events, Duration most);
  void noteEvents(const epoll_event* events, int count);
  bool watch(Descriptor& d);
  void retryLater(Descriptor& d);
  void retryDue();
  void fireTimers();
  void runReady();
  Root runRoot(Task<> task);

  int epoll_ = -1;
  WallClock wall_;
  TimePoint now_;
  Duration leastStep_;
  std::function<void(Duration)> stepped_;
  bool stopped_ = false, again_ = false, coarse_ = false;
  std::deque<std::coroutine_handle<>> ready_;
  Timers timers_;
  std::uint64_t timerSeq_ = 0;
  std::unordered_set<void*> roots_;
  std::map<Descriptor*, TimePoint>
      retries_;  // calls on them failed for want of memory; when they are made again
};

// What one coroutine waits for. Set while nobody waits, it is kept for the next who does.
class Event {
 public:
  explicit Event(Scheduler& s) : scheduler_(s) {}
  ~Event();
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;

  void set();

  // co_await event.wait(until): true when it was set, false when the time came first.
  struct Wait {
    Event& event;
    TimePoint until;
    bool await_ready();
    void await_suspend(std::coroutine_handle<> h);
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
  std::coroutine_handle<> waiter_, queued_;
  bool set_ = false, timedOut_ = false, armed_ = false;
  Scheduler::Timers::iterator timer_;
};

// Waits for a time and nothing else.
Task<> sleepUntil(Scheduler& s, TimePoint until);

// Owns a non-blocking file descriptor; its events are set at each edge and when it is closed here.
class Descriptor {
 public:
  // Where the kernel can't watch it at this moment it is tried again until it can.
  Descriptor(Scheduler& s, int fd);
  ~Descriptor() { close(); }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int fd() const { return fd_; }
  bool open() const { return fd_ >= 0; }
  void close();
  // Has the other side ended its sending, or broken the connection? It shows here even while bytes
  // that came before stand unread.
  bool peerEnded() const { return peerEnded_; }
  // Since when something may stand unread; kNever: nothing does, as far as is known.
  TimePoint unreadSince() const { return unreadSince_; }

  Event in, out;

 protected:
  // A call on it failed for want of memory, which brings no edge later: both events are set in a
  // moment.
  void retryLater() { scheduler_.retryLater(*this); }
  void readEmpty() { unreadSince_ = kNever; }  // all that had come was read

 private:
  friend class Scheduler;
  Scheduler& scheduler_;
  int fd_;
  bool watched_ = false;
  bool peerEnded_ = false;
  TimePoint unreadSince_ = kNever;
};

}  // namespace reedchute::runtime

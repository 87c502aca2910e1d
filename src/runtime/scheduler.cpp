#include "runtime/scheduler.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <system_error>
#include <vector>

#include "log/log.h"

namespace reedchute::runtime {
namespace {

constexpr int kEventsAtOnce = 256;
constexpr std::int64_t kLongestWait = 1'000'000;
// Batches of events that are noted before the first coroutine runs.
constexpr int kBatchesAtOnce = 64;
// Until a call that failed for want of memory is made again.
constexpr Duration kRetryPause{2'000};

}  // namespace

// The frame at the bottom of a spawned coroutine: it takes itself off the books when it ends.
struct Scheduler::Root {
  struct promise_type {
    Scheduler* scheduler;
    promise_type(Scheduler& s, Task<>&) : scheduler(&s) {}
    Root get_return_object() { return {std::coroutine_handle<promise_type>::from_promise(*this)}; }
    std::suspend_always initial_suspend() noexcept { return {}; }
    std::suspend_never final_suspend() noexcept {
      scheduler->roots_.erase(std::coroutine_handle<promise_type>::from_promise(*this).address());
      return {};
    }
    void return_void() {}
    void unhandled_exception() noexcept {}
  };
  std::coroutine_handle<promise_type> handle;
};

Scheduler::Root Scheduler::runRoot(Task<> task) {
  // Danger: an exception that leaves a coroutine ends the program, and with it every statement in
  // hand.
  try {
    co_await task;
  } catch (const std::exception& e) {
    log::line("task_failed", "what=\"%s\"", e.what());
  }
}

void throwErrno(const char* what) {
  throw std::system_error(errno, std::generic_category(), what);
}

Scheduler::Scheduler() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ < 0) throwErrno("epoll can't be had");
  readClock();
}

Scheduler::~Scheduler() {
  ready_.clear();
  while (!roots_.empty()) {
    void* address = *roots_.begin();
    roots_.erase(roots_.begin());
    std::coroutine_handle<>::from_address(address).destroy();
  }
  ::close(epoll_);
}

TimePoint Scheduler::instant() const {
  return std::max(now_, monotonicNow());
}

void Scheduler::readClock() {
  now_ = std::max(now_, wall_.look());
  log::clock(wall_.wallOf(now_));
  if (!stepped_) return;
  if (Duration ahead = wall_.stepped(leastStep_); ahead != Duration{}) stepped_(ahead);
}

void Scheduler::spawn(Task<> task) {
  Root root = runRoot(std::move(task));
  roots_.insert(root.handle.address());
  ready_.push_back(root.handle);
}

int Scheduler::waitForEvents(epoll_event* events, Duration most) {
  int n = -1;
  if (!coarse_) {
    timespec t{most.us / 1'000'000, most.us % 1'000'000 * 1000};
    n = epoll_pwait2(epoll_, events, kEventsAtOnce, &t, nullptr);
    // Danger: where it is refused, as old filters do with what they don't know, it would be called
    // in a loop.
    coarse_ = n < 0 && errno != EINTR;
  }
  if (coarse_)
    n = epoll_wait(epoll_, events, kEventsAtOnce, static_cast<int>((most.us + 999) / 1000));
  if (n < 0 && errno != EINTR) throwErrno("epoll can't be waited for");
  return n;
}

void Scheduler::noteEvents(const epoll_event* events, int count) {
  for (int k = 0; k < count; ++k) {
    Descriptor& d = *static_cast<Descriptor*>(events[k].data.ptr);
    if (events[k].events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) d.peerEnded_ = true;
    if (events[k].events & EPOLLIN && d.unreadSince_ == kNever) d.unreadSince_ = now_;
    if (events[k].events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) d.in.set();
    if (events[k].events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) d.out.set();
  }
}

void Scheduler::wait(TimePoint until) {
  epoll_event events[kEventsAtOnce];
  if (!timers_.empty()) until = std::min(until, timers_.begin()->first.first);
  for (const auto& [descriptor, due] : retries_) until = std::min(until, due);
  Duration left = again_ || !ready_.empty()
                      ? Duration{}
                      : std::clamp(until - now_, Duration{}, Duration{kLongestWait});
  TimePoint begun = monotonicNow();
  int n = waitForEvents(events, left);
  readClock();
  // Danger: a coroutine may close a descriptor whose events are still in hand, and its number may
  // be used again at once; and what a round decides rests on all that has come: a client's end in
  // the next batch would be seen too late. So all events are noted before the first coroutine runs.
  noteEvents(events, n);
  // Danger: the process may have been held up between the wait and the look at the clock; then
  // these events are older than the round, and what has come since would be missing from it.
  bool mayBeOld = now_ - begun >= kOldRound;
  for (int batch = 1; (n == kEventsAtOnce || mayBeOld) && batch < kBatchesAtOnce; ++batch) {
    mayBeOld = false;
    n = waitForEvents(events, Duration{});
    noteEvents(events, n);
  }
  retryDue();
}

bool Scheduler::watch(Descriptor& d) {
  epoll_event e{};
  e.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  e.data.ptr = &d;
  d.watched_ = epoll_ctl(epoll_, EPOLL_CTL_ADD, d.fd_, &e) == 0;
  return d.watched_;
}

void Scheduler::retryLater(Descriptor& d) {
  retries_.try_emplace(&d, now_ + kRetryPause);
}

void Scheduler::retryDue() {
  std::vector<Descriptor*> due;
  for (const auto& [descriptor, at] : retries_)
    if (at <= now_) due.push_back(descriptor);
  for (Descriptor* d : due) {
    retries_.erase(d);
    if (!d->watched_ && !watch(*d)) {
      retryLater(*d);
    } else {
      d->in.set(), d->out.set();
    }
  }
}

void Scheduler::fireTimers() {
  while (!timers_.empty() && timers_.begin()->first.first <= now_)
    timers_.begin()->second->wake(true);
}

void Scheduler::runReady() {
  while (!ready_.empty()) {
    std::coroutine_handle<> h = ready_.front();
    ready_.pop_front();
    h.resume();
  }
}

void Scheduler::pass(TimePoint until, const std::function<void()>& roundEnds) {
  wait(until);
  fireTimers();
  runReady();
  again_ = false;  // whoever asked for a round so far has this one
  roundEnds();
  runReady();  // what the round's end began: sends, answers
}

void Scheduler::run(const std::function<void()>& roundEnds) {
  while (!stopped_) pass(kForever, roundEnds);
}

// ---- events ----

Event::~Event() {
  if (armed_) scheduler_.timers_.erase(timer_);
  if (queued_) std::erase(scheduler_.ready_, queued_);
}

void Event::set() {
  if (waiter_)
    wake(false);
  else
    set_ = true;
}

void Event::wake(bool timedOut) {
  if (armed_) scheduler_.timers_.erase(timer_), armed_ = false;
  timedOut_ = timedOut;
  queued_ = std::exchange(waiter_, {});
  scheduler_.ready_.push_back(queued_);
}

bool Event::Wait::await_ready() {
  event.timedOut_ = false;
  if (std::exchange(event.set_, false)) return true;
  if (until > event.scheduler_.now()) return false;
  event.timedOut_ = true;
  return true;
}

void Event::Wait::await_suspend(std::coroutine_handle<> h) {
  event.waiter_ = h;
  event.queued_ = {};
  if (until >= kForever) return;
  event.timer_ = event.scheduler_.timers_
                     .emplace(std::pair{until, event.scheduler_.timerSeq_++}, &event)
                     .first;
  event.armed_ = true;
}

Task<> sleepUntil(Scheduler& s, TimePoint until) {
  Event never(s);
  co_await never.wait(until);
}

// ---- descriptors ----

Descriptor::Descriptor(Scheduler& s, int fd) : in(s), out(s), scheduler_(s), fd_(fd) {
  if (fd_ < 0 || scheduler_.watch(*this)) return;
  if (errno == ENOMEM || errno == ENOSPC)
    scheduler_.retryLater(*this);
  else
    close();
}

void Descriptor::close() {
  if (fd_ < 0) return;
  scheduler_.retries_.erase(this);
  ::close(std::exchange(fd_, -1));
  in.set();
  out.set();
}

}  // namespace reedchute::runtime

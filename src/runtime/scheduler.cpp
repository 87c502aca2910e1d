#include "runtime/scheduler.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <exception>
#include <vector>

#include "log/log.h"
#include "runtime/descriptor.h"
#include "runtime/event.h"
#include "runtime/system_error.h"

namespace reedchute::runtime {
namespace {

constexpr int kMaxEventsPerBatch = 256;
constexpr int kMaxBatchesPerRound = 64;
constexpr Duration kMaxWait{1'000'000};
constexpr Duration kRetryDelay{2'000};  // before a call that failed for lack of memory is retried

constexpr std::uint32_t kPeerClosed = EPOLLRDHUP | EPOLLHUP | EPOLLERR;
constexpr std::uint32_t kReadable = EPOLLIN | kPeerClosed;
constexpr std::uint32_t kWritable = EPOLLOUT | EPOLLHUP | EPOLLERR;

}  // namespace

// The outermost coroutine of a spawned task. It removes itself from `roots_` when it ends.
struct Scheduler::Root {
  struct promise_type {
    Scheduler* scheduler;
    promise_type(Scheduler& owner, Task<>&) : scheduler(&owner) {}
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

// Logs an exception that leaves the task. It ends only this task, not the process.
Scheduler::Root Scheduler::runRoot(Task<> task) {
  try {
    co_await task;
  } catch (const std::exception& error) {
    log::line("task_failed", "what=\"%s\"", error.what());
  }
}

Scheduler::Scheduler() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ < 0) throwErrno("can't create an epoll instance");
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

TimePoint Scheduler::steadyNow() const {
  return std::max(now_, monotonicNow());
}

void Scheduler::readClock() {
  now_ = std::max(now_, wallClock_.refresh());
  log::setTime(wallClock_.toWall(now_));
  if (!clockStepListener_) return;
  Duration ahead = wallClock_.takeStep(minClockStep_);
  if (ahead != Duration{}) clockStepListener_(ahead);
}

void Scheduler::spawn(Task<> task) {
  Root root = runRoot(std::move(task));
  roots_.insert(root.handle.address());
  ready_.push_back(root.handle);
}

int Scheduler::waitForEvents(epoll_event* events, Duration maxWait) {
  int count = -1;
  if (!lacksEpollPwait2_) {
    timespec timeout{maxWait.us / 1'000'000, maxWait.us % 1'000'000 * 1000};
    count = epoll_pwait2(epoll_, events, kMaxEventsPerBatch, &timeout, nullptr);
    // Old system call filters refuse system calls that they don't know, on every call.
    lacksEpollPwait2_ = count < 0 && errno != EINTR;
  }
  if (lacksEpollPwait2_) {
    int timeoutMs = static_cast<int>((maxWait.us + 999) / 1000);
    count = epoll_wait(epoll_, events, kMaxEventsPerBatch, timeoutMs);
  }
  if (count < 0 && errno != EINTR) throwErrno("can't wait for epoll events");
  return count;
}

void Scheduler::applyEvents(const epoll_event* events, int count) {
  for (int k = 0; k < count; ++k) {
    Descriptor& descriptor = *static_cast<Descriptor*>(events[k].data.ptr);
    std::uint32_t flags = events[k].events;
    if (flags & kPeerClosed) descriptor.hasPeerClosed_ = true;
    if (flags & EPOLLIN && descriptor.unreadSince_ == kNever) {
      descriptor.unreadSince_ = now_;
      descriptor.mayBeUnreadSince_ = eventsSince_;
    }
    if (flags & kReadable) descriptor.readable.set();
    if (flags & kWritable) descriptor.writable.set();
  }
}

Duration Scheduler::waitTime(TimePoint until) const {
  if (anotherRoundRequested_ || !ready_.empty()) return {};
  if (!timers_.empty()) until = std::min(until, timers_.begin()->first.first);
  for (const auto& [descriptor, due] : retries_) until = std::min(until, due);
  return std::clamp(until - now_, Duration{}, kMaxWait);
}

void Scheduler::collectEvents(TimePoint until) {
  epoll_event events[kMaxEventsPerBatch];
  Duration maxWait = waitTime(until);
  TimePoint lastRound = now_;
  TimePoint waitBegan = monotonicNow();
  int count = waitForEvents(events, maxWait);
  readClock();
  eventsSince_ = now_ - lastRound >= kLongWait ? lastRound : kNever;
  // The events of all batches are applied before the first coroutine runs. A coroutine may close a
  // descriptor whose events are in a later batch, and its number may be reused immediately. Also, a
  // decision must take into account that a client has disconnected, even if that event is in a
  // later batch.
  applyEvents(events, count);
  // If the process was delayed between the wait and reading the clock, these events are older than
  // the round, so the events that have arrived since are collected too.
  bool mayBeStale = now_ - waitBegan >= kStaleRound;
  for (int batch = 1; (count == kMaxEventsPerBatch || mayBeStale) && batch < kMaxBatchesPerRound;
       ++batch) {
    mayBeStale = false;
    count = waitForEvents(events, Duration{});
    applyEvents(events, count);
  }
  runDueRetries();
}

bool Scheduler::watch(Descriptor& descriptor) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = &descriptor;
  descriptor.isWatched_ = epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor.fd_, &event) == 0;
  return descriptor.isWatched_;
}

void Scheduler::retryLater(Descriptor& descriptor) {
  retries_.try_emplace(&descriptor, now_ + kRetryDelay);
}

void Scheduler::runDueRetries() {
  std::vector<Descriptor*> dueNow;
  for (const auto& [descriptor, due] : retries_)
    if (due <= now_) dueNow.push_back(descriptor);
  for (Descriptor* descriptor : dueNow) {
    retries_.erase(descriptor);
    if (!descriptor->isWatched_ && !watch(*descriptor)) {
      retryLater(*descriptor);
      continue;
    }
    descriptor->readable.set();
    descriptor->writable.set();
  }
}

void Scheduler::fireTimers() {
  while (!timers_.empty() && timers_.begin()->first.first <= now_)
    timers_.begin()->second->wake(true);
}

void Scheduler::runReady() {
  while (!ready_.empty()) {
    std::coroutine_handle<> next = ready_.front();
    ready_.pop_front();
    next.resume();
  }
}

void Scheduler::runOnce(TimePoint until, const std::function<void()>& onRoundEnd) {
  collectEvents(until);
  fireTimers();
  runReady();
  anotherRoundRequested_ = false;  // this round's end serves every request so far
  onRoundEnd();
  runReady();
}

void Scheduler::run(const std::function<void()>& onRoundEnd) {
  while (!isStopped_) runOnce(kForever, onRoundEnd);
}

}  // namespace reedchute::runtime

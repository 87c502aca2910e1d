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

constexpr int kEventsPerBatch = 256;
constexpr int kBatchesPerRound = 64;
constexpr Duration kLongestWait{1'000'000};
constexpr Duration kRetryPause{2'000};  // before a call that lacked memory is made again

constexpr std::uint32_t kPeerClosed = EPOLLRDHUP | EPOLLHUP | EPOLLERR;
constexpr std::uint32_t kReadable = EPOLLIN | kPeerClosed;
constexpr std::uint32_t kWritable = EPOLLOUT | EPOLLHUP | EPOLLERR;

}  // namespace

// The frame at the bottom of a spawned coroutine. It removes itself from the roots when it ends.
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

// An exception that left a spawned coroutine would end the program, so it ends the task only.
Scheduler::Root Scheduler::runRoot(Task<> task) {
  try {
    co_await task;
  } catch (const std::exception& error) {
    log::line("task_failed", "what=\"%s\"", error.what());
  }
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

TimePoint Scheduler::steadyNow() const {
  return std::max(now_, monotonicNow());
}

void Scheduler::readClock() {
  now_ = std::max(now_, wallClock_.refresh());
  log::setTime(wallClock_.toWall(now_));
  if (!clockStepListener_) return;
  Duration ahead = wallClock_.takeStep(leastClockStep_);
  if (ahead != Duration{}) clockStepListener_(ahead);
}

void Scheduler::spawn(Task<> task) {
  Root root = runRoot(std::move(task));
  roots_.insert(root.handle.address());
  ready_.push_back(root.handle);
}

int Scheduler::waitForEvents(epoll_event* events, Duration most) {
  int count = -1;
  if (!lacksFineTimeout_) {
    timespec timeout{most.us / 1'000'000, most.us % 1'000'000 * 1000};
    count = epoll_pwait2(epoll_, events, kEventsPerBatch, &timeout, nullptr);
    // Old system call filters refuse what they don't know, each time that it is called.
    lacksFineTimeout_ = count < 0 && errno != EINTR;
  }
  if (lacksFineTimeout_) {
    int timeoutMs = static_cast<int>((most.us + 999) / 1000);
    count = epoll_wait(epoll_, events, kEventsPerBatch, timeoutMs);
  }
  if (count < 0 && errno != EINTR) throwErrno("epoll can't be waited for");
  return count;
}

void Scheduler::noteEvents(const epoll_event* events, int count) {
  for (int k = 0; k < count; ++k) {
    Descriptor& descriptor = *static_cast<Descriptor*>(events[k].data.ptr);
    std::uint32_t flags = events[k].events;
    if (flags & kPeerClosed) descriptor.peerClosed_ = true;
    if (flags & EPOLLIN && descriptor.unreadSince_ == kNever) descriptor.unreadSince_ = now_;
    if (flags & kReadable) descriptor.readable.set();
    if (flags & kWritable) descriptor.writable.set();
  }
}

Duration Scheduler::waitTime(TimePoint until) const {
  if (anotherRoundRequested_ || !ready_.empty()) return {};
  if (!timers_.empty()) until = std::min(until, timers_.begin()->first.first);
  for (const auto& [descriptor, due] : retries_) until = std::min(until, due);
  return std::clamp(until - now_, Duration{}, kLongestWait);
}

void Scheduler::collectEvents(TimePoint until) {
  epoll_event events[kEventsPerBatch];
  Duration most = waitTime(until);
  TimePoint waitBegan = monotonicNow();
  int count = waitForEvents(events, most);
  readClock();
  // All events are noted before the first coroutine runs: a coroutine may close a descriptor whose
  // events are in a later batch and whose number is used again at once, and a decision must know of
  // a client that has left in a later batch.
  noteEvents(events, count);
  // If the process was held up between the wait and the reading of the clock, these events are
  // older than the round, and later ones are collected too.
  bool mayBeStale = now_ - waitBegan >= kStaleRound;
  for (int batch = 1; (count == kEventsPerBatch || mayBeStale) && batch < kBatchesPerRound;
       ++batch) {
    mayBeStale = false;
    count = waitForEvents(events, Duration{});
    noteEvents(events, count);
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
  retries_.try_emplace(&descriptor, now_ + kRetryPause);
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
  anotherRoundRequested_ = false;  // every request so far gets this round's end
  onRoundEnd();
  runReady();
}

void Scheduler::run(const std::function<void()>& onRoundEnd) {
  while (!isStopped_) runOnce(kForever, onRoundEnd);
}

}  // namespace reedchute::runtime

#include "sched/scheduler.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>

#include "log/log.h"

namespace reedchute::sched {
namespace {

constexpr int kEventsAtOnce = 256;
constexpr std::int64_t kLongestWait = 1'000'000;

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
  // Danger: an exception that leaves a coroutine ends the program, and with it every statement in hand.
  try {
    co_await task;
  } catch (const std::exception& e) {
    log::line("fault", "what=\"%s\"", e.what());
  }
}

Scheduler::Scheduler() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ < 0) throw std::runtime_error("epoll can't be had");
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
  if (Span ahead = wall_.stepped(leastStep_); ahead != Span{}) stepped_(ahead);
}

void Scheduler::spawn(Task<> task) {
  Root root = runRoot(std::move(task));
  roots_.insert(root.handle.address());
  ready_.push_back(root.handle);
}

void Scheduler::wait(TimePoint until) {
  epoll_event events[kEventsAtOnce];
  if (!timers_.empty()) until = std::min(until, timers_.begin()->first.first);
  Span left = again_ || !ready_.empty() ? Span{} : std::clamp(until - now_, Span{}, Span{kLongestWait});
  int n = -1;
  if (!coarse_) {
    timespec t{left.us / 1'000'000, left.us % 1'000'000 * 1000};
    n = epoll_pwait2(epoll_, events, kEventsAtOnce, &t, nullptr);
    // Danger: where it is refused, as old filters do with what they don't know, it would be called in a loop.
    coarse_ = n < 0 && errno != EINTR;
  }
  if (coarse_) n = epoll_wait(epoll_, events, kEventsAtOnce, static_cast<int>((left.us + 999) / 1000));
  if (n < 0 && errno != EINTR) throw std::runtime_error("epoll can't be waited for");
  readClock();
  // Danger: a coroutine may close a descriptor whose events are still in hand, and its number may be used
  // again at once. So all events of a pass are noted before the first coroutine runs.
  for (int k = 0; k < n; ++k) {
    Descriptor& d = *static_cast<Descriptor*>(events[k].data.ptr);
    if (events[k].events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) d.peerEnded_ = true;
    if (events[k].events & EPOLLIN && d.unreadSince_ == kNever) d.unreadSince_ = now_;
    if (events[k].events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) d.in.set();
    if (events[k].events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) d.out.set();
  }
}

void Scheduler::fireTimers() {
  while (!timers_.empty() && timers_.begin()->first.first <= now_) timers_.begin()->second->wake(true);
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
  event.timer_ =
      event.scheduler_.timers_.emplace(std::pair{until, event.scheduler_.timerSeq_++}, &event).first;
  event.armed_ = true;
}

Task<> sleepUntil(Scheduler& s, TimePoint until) {
  Event never(s);
  co_await never.wait(until);
}

// ---- descriptors ----

Descriptor::Descriptor(Scheduler& s, int fd) : in(s), out(s), fd_(fd) {
  if (fd_ < 0) return;
  epoll_event e{};
  e.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  e.data.ptr = this;
  if (epoll_ctl(s.epoll_, EPOLL_CTL_ADD, fd_, &e) < 0) close();
}

void Descriptor::close() {
  if (fd_ < 0) return;
  ::close(std::exchange(fd_, -1));
  in.set();
  out.set();
}

}  // namespace reedchute::sched

#include "client/acceptor.h"

#include "log/log.h"

namespace reedchute::client {
namespace {

constexpr int kInARow = 16;              // connections before others have their turn
constexpr Duration kShortestPause{500};  // after a call that failed
// Longest pauses that whoever waits in the kernel as the listener is to close is tried for.
constexpr double kDrainPauses = 4;

}  // namespace

Acceptor::Acceptor(runtime::Scheduler& scheduler, AcceptorHost& host, Duration longestPause)
    : scheduler_(scheduler),
      host_(host),
      longestPause_(longestPause),
      backoff_(kShortestPause, longestPause) {}

int Acceptor::listen(const sockaddr_in& address) {
  listener_ = std::make_unique<runtime::Descriptor>(scheduler_, runtime::openListener(address));
  waitedSince_ = scheduler_.now();
  return runtime::localPort(listener_->fd());
}

bool Acceptor::acceptOne() {
  runtime::Accepted one = runtime::acceptConnection(listener_->fd());
  last_ = one.status;
  switch (one.status) {
    case runtime::AcceptStatus::accepted:
      backoff_.reset();
      host_.accepted(one.fd, waitedSince_);
      return true;
    case runtime::AcceptStatus::queueEmpty:
      backoff_.reset();
      waitedSince_ = kNever;
      return false;
    default:
      log::line("accept_failed", "errno=%d exhausted=%d", one.error,
                one.status == runtime::AcceptStatus::exhausted);
      if (waitedSince_ == kNever) waitedSince_ = scheduler_.now();
      return true;
  }
}

// After a call that failed. Danger: an error tells of one connection or of one moment, and no edge
// tells when the next call would succeed; and one that lasts would be called in a loop.
TimePoint Acceptor::retryAt() {
  TimePoint now = scheduler_.now(), next = now + backoff_.nextDelay(now);
  bool lasts = now - backoff_.failingSince() >= longestPause_;
  if (last_ == runtime::AcceptStatus::exhausted && lasts) host_.exhausted();
  return next;
}

runtime::Task<> Acceptor::run() {
  int inARow = 0;
  while (listener_->isOpen()) {
    if (std::optional<TimePoint> until = host_.holdUntil()) {
      if (waitedSince_ == kNever) waitedSince_ = scheduler_.now();
      co_await listener_->readable.wait(*until);
      continue;
    }
    bool more = acceptOne();
    if (!more) {
      co_await listener_->readable.wait();
      inARow = 0;
    } else if (last_ != runtime::AcceptStatus::accepted) {
      TimePoint next = retryAt();
      co_await runtime::sleepUntil(scheduler_, next);
    } else if (++inARow >= kInARow) {
      // Danger: clients that come again at once without end would keep all others waiting.
      inARow = 0;
      co_await runtime::sleepUntil(scheduler_, scheduler_.now() + Duration{1});
    }
  }
}

runtime::Task<> Acceptor::drainAndClose() {
  if (!listener_ || !listener_->isOpen()) co_return;
  TimePoint until = scheduler_.now() + longestPause_ * kDrainPauses;
  int inARow = 0;
  while (listener_->isOpen() && scheduler_.now() < until && acceptOne()) {
    TimePoint next = scheduler_.now();
    if (last_ != runtime::AcceptStatus::accepted)
      next = retryAt();
    else if (++inARow % kInARow == 0)
      next = next + Duration{1};
    if (next > scheduler_.now()) co_await runtime::sleepUntil(scheduler_, next);
  }
  listener_->close();
}

}  // namespace reedchute::client

#include "client/acceptor.h"

#include "log/log.h"

namespace reedchute::client {
namespace {

constexpr int kMaxAcceptedInARow = 16;  // connections, before others have their turn
constexpr Duration kYield{1};           // until the next turn of the scheduler
constexpr Duration kMinPause{500};      // after a call that failed
constexpr double kDrainPauses = 4;      // longest pauses, for draining the kernel's queue

}  // namespace

Acceptor::Acceptor(runtime::Scheduler& scheduler, AcceptorHost& host, Duration maxPause)
    : scheduler_(scheduler), host_(host), maxPause_(maxPause), backoff_(kMinPause, maxPause) {}

int Acceptor::listen(const sockaddr_in& address) {
  listener_ = std::make_unique<runtime::Descriptor>(scheduler_, runtime::openListener(address));
  waitedSince_ = scheduler_.now();
  return runtime::localPort(listener_->fd());
}

bool Acceptor::acceptOne() {
  runtime::Accepted accepted = runtime::acceptConnection(listener_->fd());
  lastStatus_ = accepted.status;
  switch (accepted.status) {
    case runtime::AcceptStatus::accepted:
      backoff_.reset();
      host_.onAccepted(accepted.fd, waitedSince_);
      return true;
    case runtime::AcceptStatus::queueEmpty:
      backoff_.reset();
      waitedSince_ = kNever;
      return false;
    default:
      log::line("accept_failed", "errno=%d exhausted=%d", accepted.error,
                accepted.status == runtime::AcceptStatus::exhausted);
      if (waitedSince_ == kNever) waitedSince_ = scheduler_.now();
      return true;
  }
}

// After a call that failed. An error tells of one connection or of one moment, and no edge tells
// when the next call would succeed (test acceptMoment); one that lasts would be met in a loop.
TimePoint Acceptor::retryAt() {
  TimePoint now = scheduler_.now();
  TimePoint next = now + backoff_.nextDelay(now);
  bool hasLasted = now - backoff_.failingSince() >= maxPause_;
  if (lastStatus_ == runtime::AcceptStatus::exhausted && hasLasted) host_.onDescriptorsExhausted();
  return next;
}

runtime::Task<> Acceptor::run() {
  int acceptedInARow = 0;
  while (listener_->isOpen()) {
    if (std::optional<TimePoint> until = host_.pauseUntil()) {
      if (waitedSince_ == kNever) waitedSince_ = scheduler_.now();
      co_await listener_->readable.wait(*until);
      continue;
    }
    bool mayHaveMore = acceptOne();
    if (!mayHaveMore) {
      co_await listener_->readable.wait();
      acceptedInARow = 0;
    } else if (lastStatus_ != runtime::AcceptStatus::accepted) {
      TimePoint next = retryAt();
      co_await runtime::sleepUntil(scheduler_, next);
    } else if (++acceptedInARow >= kMaxAcceptedInARow) {
      // Clients that reconnect without end would keep all others waiting.
      acceptedInARow = 0;
      co_await runtime::sleepUntil(scheduler_, scheduler_.now() + kYield);
    }
  }
}

runtime::Task<> Acceptor::drainAndClose() {
  if (!listener_ || !listener_->isOpen()) co_return;
  TimePoint until = scheduler_.now() + maxPause_ * kDrainPauses;
  int acceptedInARow = 0;
  while (listener_->isOpen() && scheduler_.now() < until && acceptOne()) {
    TimePoint next = scheduler_.now();
    if (lastStatus_ != runtime::AcceptStatus::accepted)
      next = retryAt();
    else if (++acceptedInARow % kMaxAcceptedInARow == 0)
      next = next + kYield;
    if (next > scheduler_.now()) co_await runtime::sleepUntil(scheduler_, next);
  }
  listener_->close();
}

}  // namespace reedchute::client

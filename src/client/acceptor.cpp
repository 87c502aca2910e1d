#include "client/acceptor.h"

#include "log/log.h"

namespace reedchute::client {
namespace {

constexpr int kMaxAcceptedInARow = 16;   // connections, before other coroutines run
constexpr Duration kYieldDelay{1};       // resumes in the scheduler's next round
constexpr Duration kMinRetryDelay{500};  // after a failed accept()
// Time limit for draining the accept queue, in multiples of the longest retry delay.
constexpr double kDrainTimeInMaxDelays = 4;

}  // namespace

Acceptor::Acceptor(runtime::Scheduler& scheduler, AcceptorOwner& owner, Duration maxRetryDelay)
    : scheduler_(scheduler),
      owner_(owner),
      maxRetryDelay_(maxRetryDelay),
      backoff_(kMinRetryDelay, maxRetryDelay) {}

int Acceptor::listen(const sockaddr_in& address) {
  listener_ = std::make_unique<runtime::Descriptor>(scheduler_, runtime::openListener(address));
  acceptableSince_ = scheduler_.now();
  return runtime::localPort(listener_->fd());
}

bool Acceptor::acceptOne() {
  runtime::Accepted accepted = runtime::acceptConnection(listener_->fd());
  lastStatus_ = accepted.status;
  switch (accepted.status) {
    case runtime::AcceptStatus::accepted:
      backoff_.reset();
      owner_.onAccepted(accepted.fd, mayWaitSince());
      return true;
    case runtime::AcceptStatus::queueEmpty:
      backoff_.reset();
      acceptableSince_ = kNever;
      listener_->markFullyRead();
      return false;
    default:
      log::line("accept_failed", "errno=%d exhausted=%d", accepted.error,
                accepted.status == runtime::AcceptStatus::exhausted);
      onHeldBack();
      return true;
  }
}

// The listener is reported as readable once for all connections that wait; they may be accepted
// several rounds later.
TimePoint Acceptor::mayWaitSince() const {
  if (acceptableSince_ != kNever) return acceptableSince_;
  if (listener_->mayBeUnreadSince() != kNever) return listener_->mayBeUnreadSince();
  return listener_->unreadSince() < scheduler_.now() ? listener_->unreadSince() : kNever;
}

void Acceptor::onHeldBack() {
  acceptableSince_ = mayWaitSince();
  if (acceptableSince_ == kNever) acceptableSince_ = scheduler_.now();
}

// Returns when to call accept() again after a failure. Most errors concern a single connection or
// are momentary, and epoll reports no edge when the next call would succeed (test acceptMoment), so
// the call is retried by time. The backoff keeps a persistent error from causing a busy loop.
TimePoint Acceptor::retryAt() {
  TimePoint now = scheduler_.now();
  TimePoint next = now + backoff_.nextDelay(now);
  bool isPersistent = now - backoff_.failingSince() >= maxRetryDelay_;
  if (lastStatus_ == runtime::AcceptStatus::exhausted && isPersistent)
    owner_.onDescriptorsExhausted();
  return next;
}

runtime::Task<> Acceptor::run() {
  int acceptedInARow = 0;
  while (listener_->isOpen()) {
    if (std::optional<TimePoint> until = owner_.pauseUntil()) {
      onHeldBack();
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
      // Clients that reconnect continuously must not starve the other coroutines.
      acceptedInARow = 0;
      co_await runtime::sleepUntil(scheduler_, scheduler_.now() + kYieldDelay);
    }
  }
}

runtime::Task<> Acceptor::drainAndClose() {
  if (!listener_ || !listener_->isOpen()) co_return;
  TimePoint until = scheduler_.now() + maxRetryDelay_ * kDrainTimeInMaxDelays;
  int acceptedInARow = 0;
  while (listener_->isOpen() && scheduler_.now() < until && acceptOne()) {
    TimePoint next = scheduler_.now();
    if (lastStatus_ != runtime::AcceptStatus::accepted)
      next = retryAt();
    else if (++acceptedInARow % kMaxAcceptedInARow == 0)
      next = next + kYieldDelay;
    if (next > scheduler_.now()) co_await runtime::sleepUntil(scheduler_, next);
  }
  listener_->close();
}

}  // namespace reedchute::client

// A listening socket. Accepts connections through the failures that accept() is documented to have,
// and knows since when a connection may have waited in the kernel's queue.
#pragma once

#include <memory>
#include <optional>

#include "runtime/backoff.h"
#include "runtime/socket.h"

namespace reedchute::client {

// The owner of the accepted connections.
class AcceptorHost {
 public:
  virtual ~AcceptorHost() = default;
  // `waitedSince`: since when it may have waited to be accepted; kNever: it has just come.
  virtual void onAccepted(int fd, TimePoint waitedSince) = 0;
  // Until when no connection is to be accepted; nothing: one may be accepted now.
  virtual std::optional<TimePoint> pauseUntil() = 0;
  // No descriptor or memory has been left for so long that the host should free some.
  virtual void onDescriptorsExhausted() = 0;
};

class Acceptor {
 public:
  // `maxPause`: between two calls of accept() that fail.
  Acceptor(runtime::Scheduler& scheduler, AcceptorHost& host, Duration maxPause);

  // Returns the port; throws where the address can't be had. New clients wait in the kernel.
  int listen(const sockaddr_in& address);
  // Accepts until the listener is closed.
  runtime::Task<> run();
  // Accepts those that wait in the kernel, which the close would reset, and closes the listener.
  runtime::Task<> drainAndClose();

 private:
  // False where no connection waits.
  bool acceptOne();
  TimePoint retryAt();

  runtime::Scheduler& scheduler_;
  AcceptorHost& host_;
  const Duration maxPause_;
  std::unique_ptr<runtime::Descriptor> listener_;
  runtime::Backoff backoff_;
  // Since when a connection may wait; kNever: the kernel's queue was empty when last looked at.
  TimePoint waitedSince_ = kNever;
  runtime::AcceptStatus lastStatus_ = runtime::AcceptStatus::queueEmpty;
};

}  // namespace reedchute::client

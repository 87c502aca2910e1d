// A listening socket: accepts whoever comes, through the failures that accept() is documented to
// have, and knows since when a connection may have waited in the kernel's queue.
#pragma once

#include <memory>
#include <optional>

#include "runtime/backoff.h"
#include "runtime/socket.h"

namespace reedchute::client {

// Whoever takes the connections.
class AcceptorHost {
 public:
  virtual ~AcceptorHost() = default;
  // `waitedSince`: the earliest moment since which it may have waited to be accepted; kNever: it
  // has come just now.
  virtual void accepted(int fd, TimePoint waitedSince) = 0;
  // Until when nobody is to be accepted; nothing: somebody may be, now.
  virtual std::optional<TimePoint> holdUntil() = 0;
  // No descriptor or memory has been left for so long that somebody should make room.
  virtual void exhausted() = 0;
};

class Acceptor {
 public:
  // `longestPause`: between two tries to accept.
  Acceptor(runtime::Scheduler& scheduler, AcceptorHost& host, Duration longestPause);

  // Returns the port; throws where the address can't be had. Whoever comes waits in the kernel.
  int listen(const sockaddr_in& address);
  // Accepts until the listener is closed.
  runtime::Task<> run();
  // Accepts whoever waits in the kernel, and closes the listener: its close would reset them.
  runtime::Task<> drainAndClose();

 private:
  // False where nobody waits any more.
  bool acceptOne();
  TimePoint retryAt();

  runtime::Scheduler& scheduler_;
  AcceptorHost& host_;
  Duration longestPause_;
  std::unique_ptr<runtime::Descriptor> listener_;
  runtime::Backoff backoff_;
  TimePoint waitedSince_ = kNever;  // the queue was last seen empty before; kNever: it is
  runtime::AcceptStatus last_ = runtime::AcceptStatus::queueEmpty;
};

}  // namespace reedchute::client

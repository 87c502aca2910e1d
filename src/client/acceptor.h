// Accepts connections on a listening socket. Retries after every failure documented in accept(2),
// and tracks since when a connection may have been waiting in the kernel's accept queue.
#pragma once

#include <memory>
#include <optional>

#include "runtime/backoff.h"
#include "runtime/socket.h"

namespace reedchute::client {

// Receives the accepted connections and controls when they are accepted.
class AcceptorOwner {
 public:
  virtual ~AcceptorOwner() = default;
  // Takes ownership of `fd`. `acceptableSince`: the earliest time at which the connection may have
  // entered the accept queue; kNever if it has only just arrived.
  virtual void onAccepted(int fd, TimePoint acceptableSince) = 0;
  // Returns until when no connection may be accepted, or nullopt if one may be accepted now.
  virtual std::optional<TimePoint> pauseUntil() = 0;
  // Called when accept() has lacked descriptors or memory for at least `maxRetryDelay`; the owner
  // should free some.
  virtual void onDescriptorsExhausted() = 0;
};

class Acceptor {
 public:
  // `maxRetryDelay`: the longest delay between two failing calls of accept().
  Acceptor(runtime::Scheduler& scheduler, AcceptorOwner& owner, Duration maxRetryDelay);

  // Opens the listener and returns its port. Clients wait in the accept queue until run(). Throws
  // std::system_error if the address can't be bound.
  int listen(const sockaddr_in& address);
  // Accepts until the listener is closed.
  runtime::Task<> run();
  // Accepts the connections left in the accept queue, which closing the listener would reset, and
  // closes the listener.
  runtime::Task<> drainAndClose();

 private:
  // Calls accept() once. Returns false if the accept queue is empty; true also after an error.
  bool acceptOne();
  TimePoint retryAt();
  // Since when a connection that is accepted now may have been waiting; kNever if it has only just
  // arrived.
  TimePoint mayWaitSince() const;
  // Accepting stops although connections may be waiting.
  void onHeldBack();

  runtime::Scheduler& scheduler_;
  AcceptorOwner& owner_;
  const Duration maxRetryDelay_;
  std::unique_ptr<runtime::Descriptor> listener_;
  runtime::Backoff backoff_;
  // Since when a connection may be waiting; kNever: the accept queue was empty when last checked.
  TimePoint acceptableSince_ = kNever;
  runtime::AcceptStatus lastStatus_ = runtime::AcceptStatus::queueEmpty;
};

}  // namespace reedchute::client

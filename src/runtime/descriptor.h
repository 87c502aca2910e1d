// A non-blocking file descriptor that the scheduler watches with edge-triggered epoll.
#pragma once

#include "base/time.h"
#include "runtime/event.h"
#include "runtime/scheduler.h"

namespace reedchute::runtime {

// Owns the file descriptor. `readable` and `writable` are set at each edge and by close().
class Descriptor {
 public:
  // Takes ownership of `fd`. If the kernel lacks memory to watch it (ENOMEM, ENOSPC), this is
  // retried until it succeeds; after any other failure the descriptor is closed.
  Descriptor(Scheduler& scheduler, int fd);
  ~Descriptor() { close(); }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int fd() const { return fd_; }
  bool isOpen() const { return fd_ >= 0; }
  void close();
  // Whether the peer has shut down its sending side, or the connection has failed. True even while
  // earlier bytes are unread.
  bool hasPeerClosed() const { return hasPeerClosed_; }
  // When epoll first reported the bytes that may be unread; kNever if there are none.
  TimePoint unreadSince() const { return unreadSince_; }
  // Since when they may have been unread, if the process may have been held up before epoll
  // reported them; otherwise kNever.
  TimePoint mayBeUnreadSince() const { return mayBeUnreadSince_; }

  // Nothing is unread (or waits to be accepted) any more.
  void markFullyRead() {
    unreadSince_ = kNever;
    mayBeUnreadSince_ = kNever;
  }

  Event readable;
  Event writable;

 protected:
  // Sets both events after a short delay. For calls that failed for lack of memory, as epoll
  // reports no edge when they may succeed.
  void retryLater() { scheduler_.retryLater(*this); }

 private:
  friend class Scheduler;
  Scheduler& scheduler_;
  int fd_;
  bool isWatched_ = false;
  bool hasPeerClosed_ = false;
  TimePoint unreadSince_ = kNever;
  TimePoint mayBeUnreadSince_ = kNever;
};

}  // namespace reedchute::runtime

// A non-blocking file descriptor that the scheduler watches edge-triggered.
#pragma once

#include "base/time.h"
#include "runtime/event.h"
#include "runtime/scheduler.h"

namespace reedchute::runtime {

// Owns the descriptor. `readable` and `writable` are set at each edge, and when it is closed here.
class Descriptor {
 public:
  // If the kernel lacks memory to watch `fd`, it is tried again until it succeeds; for any other
  // failure the descriptor is closed.
  Descriptor(Scheduler& scheduler, int fd);
  ~Descriptor() { close(); }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int fd() const { return fd_; }
  bool isOpen() const { return fd_ >= 0; }
  void close();
  // Whether the peer has ended its sending or broken the connection. True even while earlier bytes
  // are unread.
  bool hasPeerClosed() const { return peerClosed_; }
  // Since when bytes may be unread; kNever when none are known.
  TimePoint unreadSince() const { return unreadSince_; }

  Event readable;
  Event writable;

 protected:
  // Sets both events after a short pause. For calls that failed for want of memory, as no edge
  // tells when they may succeed.
  void retryLater() { scheduler_.retryLater(*this); }
  void markFullyRead() { unreadSince_ = kNever; }

 private:
  friend class Scheduler;
  Scheduler& scheduler_;
  int fd_;
  bool isWatched_ = false;
  bool peerClosed_ = false;
  TimePoint unreadSince_ = kNever;
};

}  // namespace reedchute::runtime

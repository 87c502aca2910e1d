// Faults that the fault library (faulty_machine.cpp) injects into one front. The controller and the
// front map this structure from the same file.
#pragma once

#include <atomic>
#include <cstdint>

namespace soak {

enum class Call : int {
  accept,
  connect,
  socket,
  receive,
  send,
  open,
  registerEvents,  // epoll_ctl
  createSignalFd,  // signalfd
  bind,
  interrupt,     // recv, send and epoll_pwait2 fail with EINTR
  read,          // read of files and of the signalfd
  epollPwait2,   // epoll_pwait2 fails with EPERM, as under a seccomp filter that doesn't know it
  wait,          // only for `stops`: after an epoll_pwait2 that returned events
  shortReceive,  // recv returns at most 64 bytes
  shortSend,     // send writes at most 64 bytes
  count
};

struct CallFaults {
  std::atomic<int> rate;    // how many of 1,024 calls fail
  std::atomic<int> next;    // number of upcoming calls that fail
  std::atomic<int> error;   // errno; 0: drawn for each call from the errors that Linux documents
  std::atomic<int> failed;  // number of calls that have failed so far
  std::atomic<int> stops;   // number of upcoming calls before which the process raises SIGSTOP
};

struct FrontControl {
  std::atomic<std::int64_t> clockShiftUs;  // added to the wall clock
  CallFaults calls[static_cast<int>(Call::count)];
  // Bytes read from client connections after shutdown() was called on them.
  std::atomic<std::int64_t> readAndDropped;

  CallFaults& of(Call call) { return calls[static_cast<int>(call)]; }
};

}  // namespace soak

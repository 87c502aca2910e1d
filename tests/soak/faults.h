// What the fault library (faulty_machine.cpp) does to one front, which maps it from a file.
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
  makeSignals,     // signalfd
  bind,
  interrupt,     // receiving, sending and waiting, by EINTR
  read,          // of files and signals
  exactWait,     // epoll_pwait2, as a filter refuses it that doesn't know it
  wait,          // stops only: behind one that has brought events
  shortReceive,  // so few bytes come at a time
  shortSend,
  count
};

struct CallFaults {
  std::atomic<int> rate;    // of 1,024 calls, so many fail
  std::atomic<int> next;    // so many of the next calls fail
  std::atomic<int> error;   // with this; 0: one of those that Linux documents, drawn each time
  std::atomic<int> failed;  // how many have failed so far
  std::atomic<int>
      stops;  // before so many of the next calls the process stops itself, as by SIGSTOP
};

struct FrontControl {
  std::atomic<std::int64_t> clockShiftUs;
  CallFaults calls[static_cast<int>(Call::count)];
  std::atomic<std::int64_t>
      readAndDropped;  // bytes that were read from clients after their connection was shut

  CallFaults& of(Call call) { return calls[static_cast<int>(call)]; }
};

}  // namespace soak

// What a process needs to start, had through the failures of a moment: an address that the process
// before it still holds, a machine that has no descriptor left just now.
#pragma once

#include <cerrno>
#include <chrono>
#include <system_error>
#include <thread>

#include "log/log.h"

namespace reedchute::proxy {

// May the call that failed with this succeed when it is made again?
inline bool passes(const std::error_code& code) {
  switch (code.value()) {
    case EADDRINUSE:
    case EAGAIN:
    case EINTR:
    case EIO:
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
      return true;
    default:
      return false;
  }
}

// What `make` returns, which is called again while it throws a std::system_error that passes, for
// some seconds. It blocks: for use before anything is served.
template <class Make>
auto retryAtStart(const Make& make) {
  constexpr std::chrono::milliseconds kPause{50};
  constexpr std::chrono::seconds kLongest{10};
  auto until = std::chrono::steady_clock::now() + kLongest;
  for (;;) {
    try {
      return make();
    } catch (const std::system_error& e) {
      if (!passes(e.code()) || std::chrono::steady_clock::now() >= until) throw;
      log::line("start_retried", "what=\"%s\"", e.what());
    }
    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace reedchute::proxy

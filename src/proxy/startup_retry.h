// Retries for what a process needs to start: an address that its predecessor still holds, or a
// descriptor on a machine that has none left for the moment.
#pragma once

#include <chrono>
#include <system_error>
#include <thread>

#include "log/log.h"
#include "runtime/system_error.h"

namespace reedchute::proxy {

// Returns what `make` returns, calling it again for some seconds while it throws a transient
// std::system_error. It blocks, so it may only be used before anything is served.
template <class Make>
auto retryAtStart(const Make& make) {
  constexpr std::chrono::milliseconds kPause{50};
  constexpr std::chrono::seconds kLongest{10};
  auto until = std::chrono::steady_clock::now() + kLongest;
  for (;;) {
    try {
      return make();
    } catch (const std::system_error& error) {
      bool hasTime = std::chrono::steady_clock::now() < until;
      if (!runtime::isTransientError(error.code()) || !hasTime) throw;
      log::line("start_retried", "what=\"%s\"", error.what());
    }
    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace reedchute::proxy

// Retries steps of the startup that can fail temporarily: binding an address that the previous
// process still uses, or opening a descriptor when the machine has none left.
#pragma once

#include <chrono>
#include <system_error>
#include <thread>

#include "log/log.h"
#include "runtime/system_error.h"

namespace reedchute::proxy {

// Calls `make` and returns its result. If it throws a transient std::system_error, calls it again
// for up to 10 seconds; after that, or for other errors, the exception is passed on. Blocks the
// thread, so it may be used only before the process serves clients.
template <class Make>
auto retryAtStart(const Make& make) {
  constexpr std::chrono::milliseconds kRetryInterval{50};
  constexpr std::chrono::seconds kRetryTimeout{10};
  auto deadline = std::chrono::steady_clock::now() + kRetryTimeout;
  for (;;) {
    try {
      return make();
    } catch (const std::system_error& error) {
      bool hasTimeLeft = std::chrono::steady_clock::now() < deadline;
      if (!runtime::isTransientError(error.code()) || !hasTimeLeft) throw;
      log::line("start_retried", "what=\"%s\"", error.what());
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
}

}  // namespace reedchute::proxy

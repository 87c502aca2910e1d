#include "stall_watch.h"

#include <unistd.h>

#include <algorithm>

#include "record.h"

namespace soak {
namespace {

constexpr std::int64_t kSleepUs = 5'000;

}  // namespace

Stalls StallWatch::stop() {
  isStopped_ = true;
  if (thread_.joinable()) thread_.join();
  return stalls_;
}

void StallWatch::run() {
  while (!isStopped_) {
    std::int64_t before = monotonicUs();
    usleep(kSleepUs);
    std::int64_t lateUs = monotonicUs() - before - kSleepUs;
    if (lateUs > kStallUs) ++stalls_.count;
    stalls_.longestUs = std::max(stalls_.longestUs, lateUs);
  }
}

}  // namespace soak

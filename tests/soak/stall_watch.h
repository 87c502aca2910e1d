// Detects whether processes had to wait for the machine during a run: a thread sleeps for short
// times and measures how late it wakes up. Violations found in a run with long stalls may be caused
// by the machine.
#pragma once

#include <atomic>
#include <cstdint>
#include <thread>

namespace soak {

struct Stalls {
  int count = 0;  // over kStallUs
  std::int64_t longestUs = 0;
};
inline constexpr std::int64_t kStallUs = 100'000;

class StallWatch {
 public:
  StallWatch() : thread_([this] { run(); }) {}
  ~StallWatch() { stop(); }
  StallWatch(const StallWatch&) = delete;
  StallWatch& operator=(const StallWatch&) = delete;

  // Stops the thread and returns the stalls detected so far.
  Stalls stop();

 private:
  void run();

  std::atomic<bool> isStopped_ = false;
  Stalls stalls_;
  std::thread thread_;
};

}  // namespace soak

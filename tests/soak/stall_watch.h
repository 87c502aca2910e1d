// Tells whether the machine kept its processes waiting during a run: a thread that sleeps for short
// times notes how late it wakes. What a run finds beside long stalls may be the machine's doing.
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

  // Ends the watch and returns what it saw.
  Stalls stop();

 private:
  void run();

  std::atomic<bool> isStopped_ = false;
  Stalls stalls_;
  std::thread thread_;
};

}  // namespace soak

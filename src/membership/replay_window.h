// Tells packets of one sender that came before from new ones, by their numbers. A recorded packet
// that is sent again would otherwise renew a state that is long over.
#pragma once

#include <cstdint>

namespace reedchute::membership {

class ReplayWindow {
 public:
  // True the first time that a number is given. Numbers that lie too far behind the highest one,
  // and zero, are never accepted.
  bool accept(std::uint64_t number);
  // The sender has begun a new incarnation and counts from the start.
  void reset();

 private:
  void advanceTo(std::uint64_t number);

  std::uint64_t highest_ = 0;
  std::uint64_t accepted_ = 0;  // bit k: the number `highest_ - k - 1`
};

}  // namespace reedchute::membership

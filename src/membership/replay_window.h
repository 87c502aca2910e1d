// Detects replayed packets of one sender by their numbers. A recorded packet that is sent again
// could otherwise restore an outdated state.
#pragma once

#include <cstdint>

namespace reedchute::membership {

class ReplayWindow {
 public:
  // Returns true the first time that a number is passed. Zero, and numbers more than 64 behind the
  // highest one, are never accepted.
  bool accept(std::uint64_t number);
  // For a new incarnation of the sender, whose numbers start again.
  void reset();

 private:
  void advanceTo(std::uint64_t number);

  std::uint64_t highest_ = 0;
  std::uint64_t accepted_ = 0;  // bit k: number `highest_ - k - 1` was accepted
};

}  // namespace reedchute::membership

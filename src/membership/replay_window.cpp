#include "membership/replay_window.h"

namespace reedchute::membership {
namespace {

constexpr std::uint64_t kWindow = 64;  // packet numbers behind the highest

}  // namespace

void ReplayWindow::reset() {
  highest_ = 0;
  accepted_ = 0;
}

void ReplayWindow::advanceTo(std::uint64_t number) {
  std::uint64_t distance = number - highest_;
  accepted_ = distance >= kWindow ? 0 : accepted_ << distance;
  if (highest_ > 0 && distance <= kWindow) accepted_ |= std::uint64_t{1} << (distance - 1);
  highest_ = number;
}

bool ReplayWindow::accept(std::uint64_t number) {
  if (number == 0) return false;
  if (number > highest_) {
    advanceTo(number);
    return true;
  }
  std::uint64_t behind = highest_ - number;
  if (behind == 0 || behind > kWindow) return false;
  std::uint64_t bit = std::uint64_t{1} << (behind - 1);
  if (accepted_ & bit) return false;
  accepted_ |= bit;
  return true;
}

}  // namespace reedchute::membership

// Decides whether an answer is billed: which are, and which are a client's repeat under a mark that
// has been. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "base/time.h"

namespace reedchute::ledger {

enum class Outcome : std::uint8_t { none, completed, rejected, aborted };

// BilledKeys that were billed lately. Bounded: where more are in their windows than it holds, the
// oldest are forgotten and counted; what is then billed twice here shows in reconciliation, as the
// log keeps every mark.
class BilledKeys {
 public:
  explicit BilledKeys(std::size_t most) : most_(most) {}

  // Only what completed is billed, and a mark once within its window. `mark` 0: none.
  bool billed(Outcome outcome, std::uint64_t mark, Duration window, TimePoint at);
  // After a restart, from the log: this one was billed then.
  void remember(std::uint64_t mark, Duration window, TimePoint at);

  std::size_t size() const { return until_.size(); }
  std::uint64_t forgotten() const { return forgotten_; }

 private:
  void forgetOld(TimePoint at);

  std::size_t most_;
  std::unordered_map<std::uint64_t, TimePoint> until_;  // the end of its window
  std::deque<std::pair<TimePoint, std::uint64_t>> inOrder_;
  std::uint64_t forgotten_ = 0;
};

}  // namespace reedchute::ledger

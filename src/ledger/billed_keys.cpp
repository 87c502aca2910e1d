#include "ledger/billed_keys.h"

namespace reedchute::ledger {

void BilledKeys::forgetOld(TimePoint at) {
  while (!inOrder_.empty() && (inOrder_.front().first <= at || until_.size() > most_)) {
    auto [until, mark] = inOrder_.front();
    inOrder_.pop_front();
    auto it = until_.find(mark);
    if (it == until_.end() || it->second != until)
      continue;  // billed again since, after its window
    if (until > at) ++forgotten_;
    until_.erase(it);
  }
}

void BilledKeys::remember(std::uint64_t mark, Duration window, TimePoint at) {
  if (mark == 0 || window <= Duration{}) return;
  until_[mark] = at + window;
  inOrder_.emplace_back(at + window, mark);
}

bool BilledKeys::billed(Outcome outcome, std::uint64_t mark, Duration window, TimePoint at) {
  if (outcome != Outcome::completed) return false;
  forgetOld(at);
  if (mark == 0) return true;
  auto it = until_.find(mark);
  if (it != until_.end() && it->second > at) return false;
  remember(mark, window, at);
  forgetOld(at);
  return true;
}

}  // namespace reedchute::ledger

#include "ledger/billed_keys.h"

namespace reedchute::ledger {

void BilledKeys::forgetOld(TimePoint now) {
  while (!inOrder_.empty() && (inOrder_.front().at <= now || expiries_.size() > maxKeys_)) {
    Expiry oldest = inOrder_.front();
    inOrder_.pop_front();
    auto current = expiries_.find(oldest.key);
    bool wasBilledAgain = current == expiries_.end() || current->second != oldest.at;
    if (wasBilledAgain) continue;
    if (oldest.at > now) ++forgotten_;
    expiries_.erase(current);
  }
}

void BilledKeys::remember(std::uint64_t key, Duration window, TimePoint at) {
  if (key == 0 || window <= Duration{}) return;
  expiries_[key] = at + window;
  inOrder_.push_back({at + window, key});
}

bool BilledKeys::bill(Outcome outcome, std::uint64_t key, Duration window, TimePoint at) {
  if (outcome != Outcome::completed) return false;
  forgetOld(at);
  if (key == 0) return true;
  auto expiry = expiries_.find(key);
  if (expiry != expiries_.end() && expiry->second > at) return false;
  remember(key, window, at);
  forgetOld(at);
  return true;
}

}  // namespace reedchute::ledger

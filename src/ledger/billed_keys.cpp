#include "ledger/billed_keys.h"

namespace reedchute::ledger {

void BilledKeys::evictOldKeys(TimePoint now) {
  while (!expiryQueue_.empty() && (expiryQueue_.front().at <= now || expiries_.size() > maxKeys_)) {
    Expiry oldest = expiryQueue_.front();
    expiryQueue_.pop_front();
    auto current = expiries_.find(oldest.key);
    bool wasBilledAgain = current == expiries_.end() || current->second != oldest.at;
    if (wasBilledAgain) continue;
    if (oldest.at > now) ++evictedKeys_;
    expiries_.erase(current);
  }
}

void BilledKeys::addKey(std::uint64_t key, Duration window, TimePoint at) {
  if (key == 0 || window <= Duration{}) return;
  expiries_[key] = at + window;
  expiryQueue_.push_back({at + window, key});
}

bool BilledKeys::bill(Outcome outcome, std::uint64_t key, Duration window, TimePoint at) {
  if (outcome != Outcome::completed) return false;
  evictOldKeys(at);
  if (key == 0) return true;
  auto expiry = expiries_.find(key);
  if (expiry != expiries_.end() && expiry->second > at) return false;
  addKey(key, window, at);
  evictOldKeys(at);
  return true;
}

}  // namespace reedchute::ledger

// Decides whether an answered statement is billed. Retries of a client under one idempotency key
// are billed once. Performs no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "base/time.h"

namespace reedchute::ledger {

enum class Outcome : std::uint8_t { none, completed, rejected, aborted };

// The idempotency keys that were billed recently. The number of keys is bounded: beyond the limit
// the oldest are evicted and counted. A statement that is billed twice because its key was evicted
// is found by reconciliation, as the log keeps every key.
class BilledKeys {
 public:
  explicit BilledKeys(std::size_t maxKeys) : maxKeys_(maxKeys) {}

  // Returns whether the answer is billed, and if so stores its key. Only completed statements are
  // billed, and a key only once within its deduplication window. Key 0 means no key.
  bool bill(Outcome outcome, std::uint64_t key, Duration window, TimePoint at);
  // Stores a key that was billed at `at`. Used to restore the keys from the log after a restart.
  void addKey(std::uint64_t key, Duration window, TimePoint at);

  std::size_t size() const { return expiries_.size(); }
  // The number of keys that were evicted before their window ended.
  std::uint64_t evictedKeys() const { return evictedKeys_; }

 private:
  struct Expiry {
    TimePoint at;
    std::uint64_t key = 0;
  };

  void evictOldKeys(TimePoint now);

  std::size_t maxKeys_;
  std::unordered_map<std::uint64_t, TimePoint> expiries_;  // end of the window, by key
  std::deque<Expiry> expiryQueue_;                         // in the order of billing
  std::uint64_t evictedKeys_ = 0;
};

}  // namespace reedchute::ledger

// Decides whether an answered statement is billed: a client's retry under an idempotency key is
// billed once. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "base/time.h"

namespace reedchute::ledger {

enum class Outcome : std::uint8_t { none, completed, rejected, aborted };

// The keys that were billed lately. Bounded: the oldest of too many are forgotten and counted. What
// is billed twice for that shows in reconciliation, as the log keeps every key.
class BilledKeys {
 public:
  explicit BilledKeys(std::size_t maxKeys) : maxKeys_(maxKeys) {}

  // Whether this answer is billed; if so its key is remembered. Only completed statements are, and
  // a key once within its deduplication window. Key 0: none.
  bool bill(Outcome outcome, std::uint64_t key, Duration window, TimePoint at);
  // After a restart, from the log: this key was billed then.
  void remember(std::uint64_t key, Duration window, TimePoint at);

  std::size_t size() const { return expiries_.size(); }
  std::uint64_t forgotten() const { return forgotten_; }

 private:
  struct Expiry {
    TimePoint at;
    std::uint64_t key = 0;
  };

  void forgetOld(TimePoint now);

  std::size_t maxKeys_;
  std::unordered_map<std::uint64_t, TimePoint> expiries_;  // the end of each key's window
  std::deque<Expiry> inOrder_;                             // as they were billed
  std::uint64_t forgotten_ = 0;
};

}  // namespace reedchute::ledger

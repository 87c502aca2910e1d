// Stage 5, relay: the one final answer that a client gets.
#pragma once

#include "base/index.h"
#include "stages/statement.h"

namespace reedchute::stages {

class Relay {
 public:
  explicit Relay(const Index<std::int64_t>& groups) : groups_(groups) {}
  // From now on each final answer is counted before it goes out.
  void meter(exchange::Meter* m) { meter_ = m; }
  // What a store gave for this very statement.
  void completed(Statement& st, exchange::Job& job);
  void rejected(Statement& st, Span comeBack);
  void aborted(Statement& st);

 private:
  void count(const Statement& st, bool completed, bool rejected, std::size_t bytesOut);

  const Index<std::int64_t>& groups_;
  exchange::Meter* meter_ = nullptr;
};

}  // namespace reedchute::stages

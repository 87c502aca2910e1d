// Stage 5, relay: the one final answer that a client gets.
#pragma once

#include <cstdint>

#include "base/index.h"
#include "stages/statement.h"

namespace reedchute::stages {

class Relay {
 public:
  // Statements since the start, by their final answers.
  struct Endings {
    std::uint64_t completed = 0, rejected = 0, aborted = 0;
  };

  explicit Relay(const Index<std::int64_t>& groups) : groups_(groups) {}
  const Endings& endings() const { return endings_; }
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
  Endings endings_;
};

}  // namespace reedchute::stages

// Stage 5, relay: the one final answer that a client gets.
#pragma once

#include <cstdint>

#include "base/id_index.h"
#include "pipeline/statement.h"
#include "request/usage_meter.h"

namespace reedchute::pipeline {

class Responder {
 public:
  // Statements since the start, by their final answers.
  struct ResponseCounts {
    std::uint64_t completed = 0, rejected = 0, aborted = 0;
  };

  explicit Responder(const IdIndex<std::int64_t>& groups) : groups_(groups) {}
  const ResponseCounts& counts() const { return counts_; }
  // From now on each final answer is counted before it goes out.
  void setUsageMeter(request::UsageMeter* m) { usageMeter_ = m; }
  // What a store gave for this very statement.
  void complete(Statement& st, request::UpstreamRequest& job);
  void reject(Statement& st, Duration retryAfter);
  void abort(Statement& st);

 private:
  void count(const Statement& st, bool completed, bool rejected, std::size_t bytesOut);

  const IdIndex<std::int64_t>& groups_;
  request::UsageMeter* usageMeter_ = nullptr;
  ResponseCounts counts_;
};

}  // namespace reedchute::pipeline

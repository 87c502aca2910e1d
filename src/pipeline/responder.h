// Gives each statement its one final response, and has its use recorded first.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/id_index.h"
#include "pipeline/statement.h"
#include "request/usage_meter.h"

namespace reedchute::pipeline {

class Responder {
 public:
  // Statements since the start, by their final response.
  struct ResponseCounts {
    std::uint64_t completed = 0;
    std::uint64_t rejected = 0;
    std::uint64_t aborted = 0;
  };

  // `groups`: the names of the groups, for usage records.
  explicit Responder(const IdIndex<std::int64_t>& groups) : groups_(groups) {}

  const ResponseCounts& counts() const { return counts_; }
  // From now on each final response is recorded before it goes out.
  void setUsageMeter(request::UsageMeter* meter) { usageMeter_ = meter; }

  // Passes on what a store responded to this very statement.
  void complete(Statement& statement, request::UpstreamRequest& request);
  void reject(Statement& statement, Duration retryAfter);
  void abort(Statement& statement);

 private:
  enum class Result { completed, failed, rejected, aborted };

  void recordUsage(const Statement& statement, Result result, std::size_t bytesOut);

  const IdIndex<std::int64_t>& groups_;
  request::UsageMeter* usageMeter_ = nullptr;
  ResponseCounts counts_;
};

}  // namespace reedchute::pipeline

// Delivers the single final response of each statement, after recording its usage.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/id_index.h"
#include "pipeline/statement.h"
#include "request/usage_meter.h"

namespace reedchute::pipeline {

class Responder {
 public:
  // Number of statements since process start, by kind of final response.
  struct ResponseCounts {
    std::uint64_t completed = 0;
    std::uint64_t rejected = 0;
    std::uint64_t aborted = 0;
  };

  // `groups`: maps group indices to the ids that usage records contain.
  explicit Responder(const IdIndex<std::int64_t>& groups) : groups_(groups) {}

  const ResponseCounts& counts() const { return counts_; }
  // Sets the meter that records each final response before it is sent. Without one, usage isn't
  // recorded. Not owned.
  void setUsageMeter(request::UsageMeter* meter) { usageMeter_ = meter; }

  // Passes the store's response on to the client. `request` is an attempt of `statement`.
  void complete(Statement& statement, request::UpstreamRequest& request);
  // No attempt of the statement has run.
  void reject(Statement& statement, Duration retryAfter);
  // The statement may have run.
  void abort(Statement& statement);

 private:
  enum class Result { completed, failed, rejected, aborted };

  void recordUsage(const Statement& statement, Result result, std::size_t bytesOut);

  const IdIndex<std::int64_t>& groups_;
  request::UsageMeter* usageMeter_ = nullptr;
  ResponseCounts counts_;
};

}  // namespace reedchute::pipeline

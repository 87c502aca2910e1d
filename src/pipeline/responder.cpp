#include "pipeline/responder.h"

#include <utility>

namespace reedchute::pipeline {

// Called before the response is sent: if usage were recorded afterwards, a process killed in
// between would never bill the statement (test ledgerKilled).
void Responder::recordUsage(const Statement& statement, Result result, std::size_t bytesOut) {
  if (!usageMeter_) return;
  usageMeter_->record({
      .tenant = statement.tenant,
      .workload = statement.workload,
      .group = groups_.id(statement.group),
      .completed = result == Result::completed,
      .rejected = result == Result::rejected,
      .bytesIn = statement.payload->size(),
      .bytesOut = bytesOut,
      .idempotencyKey = statement.idempotencyKey,
      .attempts = static_cast<std::uint32_t>(statement.attempts.size()),
      .protocol = static_cast<std::uint32_t>(statement.version),
  });
}

void Responder::complete(Statement& statement, request::UpstreamRequest& request) {
  ++counts_.completed;
  bool hasSucceeded = request.outcome == AttemptOutcome::ok;
  recordUsage(statement, hasSucceeded ? Result::completed : Result::failed,
              request.response.bytes.size());
  statement.sink->onCompleted(statement.requestId, std::move(request.response), request.store,
                              request.statedPosition);
}

void Responder::reject(Statement& statement, Duration retryAfter) {
  ++counts_.rejected;
  recordUsage(statement, Result::rejected, 0);
  statement.sink->onRejected(statement.requestId, retryAfter);
}

void Responder::abort(Statement& statement) {
  ++counts_.aborted;
  recordUsage(statement, Result::aborted, 0);
  statement.sink->onAborted(statement.requestId);
}

}  // namespace reedchute::pipeline

#include "pipeline/responder.h"

#include <utility>

namespace reedchute::pipeline {

// Danger: an answer that goes out before it is counted is never billed where the process ends in
// between.
void Responder::count(const Statement& st, bool completed, bool rejected, std::size_t bytesOut) {
  if (!usageMeter_) return;
  request::UsageRecord m;
  m.tenant = st.tenant, m.workload = st.workload, m.group = groups_.id(st.group),
  m.idempotencyKey = st.idempotencyKey;
  m.completed = completed, m.rejected = rejected;
  m.bytesIn = st.payload->size(), m.bytesOut = bytesOut;
  m.attempts = static_cast<std::uint32_t>(st.attempts.size());
  m.protocol = static_cast<std::uint32_t>(st.version);
  usageMeter_->record(m);
}

void Responder::complete(Statement& st, request::UpstreamRequest& job) {
  ++counts_.completed;
  count(st, job.outcome == AttemptOutcome::ok, false, job.response.bytes.size());
  st.sink->onCompleted(st.requestId, std::move(job.response), job.store, job.position);
}

void Responder::reject(Statement& st, Duration retryAfter) {
  ++counts_.rejected;
  count(st, false, true, 0);
  st.sink->onRejected(st.requestId, retryAfter);
}

void Responder::abort(Statement& st) {
  ++counts_.aborted;
  count(st, false, false, 0);
  st.sink->onAborted(st.requestId);
}

}  // namespace reedchute::pipeline

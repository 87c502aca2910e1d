#include "pipeline/responder.h"

#include <utility>

namespace reedchute::pipeline {

// Danger: an answer that goes out before it is counted is never billed where the process ends in
// between.
void Responder::count(const Statement& st, bool completed, bool rejected, std::size_t bytesOut) {
  if (!usageMeter_) return;
  request::UsageRecord m;
  m.tenant = st.tenant, m.workload = st.workload, m.group = groups_.id(st.group), m.mark = st.mark;
  m.completed = completed, m.rejected = rejected;
  m.bytesIn = st.payload->size(), m.bytesOut = bytesOut;
  m.executions = static_cast<std::uint32_t>(st.attempts.size());
  m.protocol = static_cast<std::uint32_t>(st.version);
  usageMeter_->answered(m);
}

void Responder::completed(Statement& st, request::UpstreamRequest& job) {
  ++answers_.completed;
  count(st, job.outcome == AttemptOutcome::ok, false, job.answer.bytes.size());
  st.sink->completed(st.requestId, std::move(job.answer), job.store, job.position);
}

void Responder::rejected(Statement& st, Duration retryAfter) {
  ++answers_.rejected;
  count(st, false, true, 0);
  st.sink->rejected(st.requestId, retryAfter);
}

void Responder::aborted(Statement& st) {
  ++answers_.aborted;
  count(st, false, false, 0);
  st.sink->aborted(st.requestId);
}

}  // namespace reedchute::pipeline

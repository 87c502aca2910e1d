#include "stages/relay.h"

#include <utility>

namespace reedchute::stages {

// Danger: an answer that goes out before it is counted is never billed where the process ends in between.
void Relay::count(const Statement& st, bool completed, bool rejected, std::size_t bytesOut) {
  if (!meter_) return;
  exchange::Metered m;
  m.tenant = st.tenant, m.workload = st.workload, m.group = groups_.id(st.group), m.mark = st.mark;
  m.completed = completed, m.rejected = rejected;
  m.bytesIn = st.request->size(), m.bytesOut = bytesOut;
  m.executions = static_cast<std::uint32_t>(st.attempts.size());
  m.protocol = static_cast<std::uint32_t>(st.speech);
  meter_->answered(m);
}

void Relay::completed(Statement& st, exchange::Job& job) {
  ++endings_.completed;
  count(st, job.ending == Ending::ok, false, job.answer.bytes.size());
  st.asker->completed(st.ticket, std::move(job.answer), job.store, job.position);
}

void Relay::rejected(Statement& st, Span comeBack) {
  ++endings_.rejected;
  count(st, false, true, 0);
  st.asker->rejected(st.ticket, comeBack);
}

void Relay::aborted(Statement& st) {
  ++endings_.aborted;
  count(st, false, false, 0);
  st.asker->aborted(st.ticket);
}

}  // namespace reedchute::stages

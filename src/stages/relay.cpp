#include "stages/relay.h"

#include <utility>

namespace reedchute::stages {

void Relay::completed(Statement& st, exchange::Job& job) {
  st.asker->completed(st.ticket, std::move(job.answer), job.store, job.position);
}

void Relay::rejected(Statement& st, Span comeBack) { st.asker->rejected(st.ticket, comeBack); }

void Relay::aborted(Statement& st) { st.asker->aborted(st.ticket); }

}  // namespace reedchute::stages

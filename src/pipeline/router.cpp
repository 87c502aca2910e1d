#include "pipeline/router.h"

#include "discovery/endpoint_watcher.h"
#include "log/log.h"

namespace reedchute::pipeline {

void Router::round() {
  if (!statements_.touched()) return;
  engine_.decide(scheduler_.now(), *this);
  statements_.roundEnded();
}

runtime::Task<> Router::alarm() {
  for (;;) {
    bool set = co_await wakes_.wait(wakeAt_);
    if (set || wakeAt_ > scheduler_.now()) continue;
    wakeAt_ = kForever;
    engine_.onWake();
    statements_.touch();
  }
}

void Router::wake(Duration after) {
  wakeAt_ = scheduler_.now() + after;
  wakes_.set();
}

void Router::tellGivenUp(const char* event, const Statement& st) const {
  TimePoint now = scheduler_.now();
  log::line(event, "id=%s attempts=%zu last=%s waited_ms=%lld left_ms=%lld", st.id.c_str(),
            st.attempts.size(), st.attempts.empty() ? "none" : request::nameOf(st.lastOutcome),
            static_cast<long long>((now - st.came).us / 1000),
            static_cast<long long>((st.giveUpAt - now).us / 1000));
}

void Router::reject(int statement, Duration retryAfter) {
  Statement& st = statements_.row(statement);
  if (!st.open) return;
  tellGivenUp("rejected", st);
  responder_.rejected(st, retryAfter);
  statements_.close(statement);
}

void Router::abort(int statement) {
  Statement& st = statements_.row(statement);
  if (!st.open) return;
  tellGivenUp("aborted", st);
  responder_.aborted(st);
  statements_.close(statement);
}

void Router::pollEndpoints() {
  list_->requestPoll();
}

}  // namespace reedchute::pipeline

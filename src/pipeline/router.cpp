#include "pipeline/router.h"

#include "discovery/endpoint_watcher.h"
#include "log/log.h"
#include "request/attempt_outcome.h"

namespace reedchute::pipeline {

void Router::runRound() {
  if (!statements_.isRoundRequested()) return;
  engine_.decide(scheduler_.now(), *this);
  statements_.onRoundEnded();
}

runtime::Task<> Router::runWakeTimer() {
  for (;;) {
    bool set = co_await wakes_.wait(wakeAt_);
    if (set || wakeAt_ > scheduler_.now()) continue;
    wakeAt_ = kForever;
    engine_.onWake();
    statements_.requestRound();
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
            static_cast<long long>((now - st.admittedAt).us / 1000),
            static_cast<long long>((st.deadline - now).us / 1000));
}

void Router::reject(int statement, Duration retryAfter) {
  Statement& st = statements_.at(statement);
  if (!st.isOpen) return;
  tellGivenUp("rejected", st);
  responder_.reject(st, retryAfter);
  statements_.close(statement);
}

void Router::abort(int statement) {
  Statement& st = statements_.at(statement);
  if (!st.isOpen) return;
  tellGivenUp("aborted", st);
  responder_.abort(st);
  statements_.close(statement);
}

void Router::pollEndpoints() {
  list_->ask();
}

}  // namespace reedchute::pipeline

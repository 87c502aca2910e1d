#include "pipeline/router.h"

#include "discovery/endpoint_watcher.h"
#include "log/log.h"
#include "request/attempt_outcome.h"

namespace reedchute::pipeline {

void Router::runRound() {
  if (!rounds_.isRequested()) return;
  engine_.decide(scheduler_.now(), *this);
  rounds_.onRoundEnded();
  statements_.onRoundEnded();
}

runtime::Task<> Router::runWakeTimer() {
  for (;;) {
    bool hasChanged = co_await wakeTimeChanged_.wait(wakeAt_);
    if (hasChanged || wakeAt_ > scheduler_.now()) continue;
    wakeAt_ = kForever;
    engine_.onWake();
    rounds_.request();
  }
}

void Router::wake(Duration after) {
  wakeAt_ = scheduler_.now() + after;
  wakeTimeChanged_.set();
}

void Router::logFailure(const char* event, const Statement& statement) const {
  TimePoint now = scheduler_.now();
  const char* last = statement.attempts.empty() ? "none" : request::nameOf(statement.lastOutcome);
  log::line(event, "id=%s attempts=%zu last=%s waited_ms=%lld left_ms=%lld", statement.id.c_str(),
            statement.attempts.size(), last,
            static_cast<long long>((now - statement.admittedAt).us / 1000),
            static_cast<long long>((statement.deadline - now).us / 1000));
}

void Router::reject(int index, Duration retryAfter) {
  Statement& statement = statements_.at(index);
  if (!statement.isOpen) return;
  logFailure("rejected", statement);
  responder_.reject(statement, retryAfter);
  statements_.close(index);
}

void Router::abort(int index) {
  Statement& statement = statements_.at(index);
  if (!statement.isOpen) return;
  logFailure("aborted", statement);
  responder_.abort(statement);
  statements_.close(index);
}

void Router::pollEndpoints() {
  endpointWatcher_->requestPoll();
}

}  // namespace reedchute::pipeline

#include "pipeline/dispatcher.h"

#include <memory>
#include <utility>

namespace reedchute::pipeline {

void Dispatcher::sendAttempt(int statement, int store, TimePoint stopAt, TimePoint sendBy) {
  Statement& st = statements_.at(statement);
  TimePoint now = scheduler_.now();
  auto job = std::make_unique<request::UpstreamRequest>();
  job->statement = statement;
  job->attempt = static_cast<int>(st.requests.size());
  job->store = store;
  job->startedAt = now;
  job->deadline = stopAt;
  job->sendBy = sendBy;
  job->version = st.version;
  job->payload = st.payload.get();
  ++st.outstandingAttempts, ++attemptCount_;
  st.attempts.push_back({.store = store});
  st.requests.push_back(nullptr);
  st.requests.back() = stores_.submit(std::move(job));
}

void Dispatcher::cancel(int statement, int execution) {
  Statement& st = statements_.at(statement);
  if (static_cast<std::size_t>(execution) >= st.requests.size()) return;
  if (request::UpstreamRequest* job = st.requests[static_cast<std::size_t>(execution)])
    stores_.cancel(job);
}

void Dispatcher::sendProbe(int store) {
  auto job = std::make_unique<request::UpstreamRequest>();
  job->store = store;
  job->startedAt = scheduler_.now();
  job->deadline = job->startedAt + probeTimeout_;
  job->version = probeVersion_;
  ++probeCount_;
  stores_.submit(std::move(job));
}

}  // namespace reedchute::pipeline

#include "pipeline/dispatcher.h"

#include <memory>
#include <utility>

namespace reedchute::pipeline {

void Dispatcher::sendAttempt(int statement, int store, TimePoint stopAt, TimePoint sendBy) {
  Statement& st = statements_.row(statement);
  TimePoint now = scheduler_.now();
  auto job = std::make_unique<request::UpstreamRequest>();
  job->statement = statement;
  job->execution = static_cast<int>(st.jobs.size());
  job->store = store;
  job->begun = now;
  job->until = stopAt;
  job->sendBy = sendBy;
  job->version = st.version;
  job->payload = st.payload.get();
  ++st.out, ++executions_;
  st.attempts.push_back({.store = store});
  st.jobs.push_back(nullptr);
  st.jobs.back() = stores_.submit(std::move(job));
}

void Dispatcher::cancel(int statement, int execution) {
  Statement& st = statements_.row(statement);
  if (static_cast<std::size_t>(execution) >= st.jobs.size()) return;
  if (request::UpstreamRequest* job = st.jobs[static_cast<std::size_t>(execution)])
    stores_.cancel(job);
}

void Dispatcher::probe(int store) {
  auto job = std::make_unique<request::UpstreamRequest>();
  job->store = store;
  job->begun = scheduler_.now();
  job->until = job->begun + probeTimeout_;
  job->version = probeVersion_;
  ++probes_;
  stores_.submit(std::move(job));
}

}  // namespace reedchute::pipeline

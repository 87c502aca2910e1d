#include "stages/send.h"

#include <memory>
#include <utility>

namespace reedchute::stages {

void Send::execution(int stmt, int store, TimePoint stopAt, TimePoint sendBy) {
  Statement& st = book_.row(stmt);
  TimePoint now = scheduler_.now();
  auto job = std::make_unique<exchange::Job>();
  job->stmt = stmt;
  job->execution = static_cast<int>(st.jobs.size());
  job->store = store;
  job->begun = now;
  job->until = stopAt;
  job->sendBy = sendBy;
  job->speech = st.speech;
  job->request = st.request.get();
  ++st.out, ++executions_;
  st.attempts.push_back({.store = store});
  st.jobs.push_back(nullptr);
  st.jobs.back() = stores_.give(std::move(job));
}

void Send::cancel(int stmt, int execution) {
  Statement& st = book_.row(stmt);
  if (static_cast<std::size_t>(execution) >= st.jobs.size()) return;
  if (exchange::Job* job = st.jobs[static_cast<std::size_t>(execution)]) stores_.cancel(job);
}

void Send::probe(int store) {
  auto job = std::make_unique<exchange::Job>();
  job->store = store;
  job->begun = scheduler_.now();
  job->until = job->begun + probeTimeout_;
  job->speech = probeSpeech_;
  ++probes_;
  stores_.give(std::move(job));
}

}  // namespace reedchute::stages

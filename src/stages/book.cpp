#include "stages/book.h"

#include <algorithm>
#include <utility>

namespace reedchute::stages {

int Book::enter(Statement st) {
  int stmt;
  if (free_.empty()) {
    stmt = static_cast<int>(rows_.size());
    rows_.emplace_back();
  } else {
    stmt = free_.back();
    free_.pop_back();
  }
  row(stmt) = std::move(st);
  if (!row(stmt).id.empty()) openIds_.insert(row(stmt).id);
  ++open_;
  held_ += costOf(row(stmt).request->size());
  touch();
  return stmt;
}

void Book::touch() {
  touched_ = true;
  scheduler_.again();
}

void Book::close(int stmt) {
  Statement& st = row(stmt);
  if (!st.open) return;
  st.open = false;
  st.asker = nullptr;
  openIds_.erase(st.id);
  --open_;
  offer(stmt);
}

void Book::offer(int stmt) {
  if (!row(stmt).open && row(stmt).out == 0) leaving_.push_back(stmt);
}

// Danger: a row that is used again within the round would mix two statements' facts in the module.
void Book::roundEnded() {
  touched_ = false;
  for (int stmt : leaving_) {
    held_ -= costOf(row(stmt).request->size());
    row(stmt) = {};
    free_.push_back(stmt);
  }
  leaving_.clear();
}

bool Book::names(int store) const {
  return std::any_of(rows_.begin(), rows_.end(), [&](const Statement& st) {
    return std::find(st.stores.begin(), st.stores.end(), store) != st.stores.end();
  });
}

bool Book::wanted(const exchange::Job& job) const {
  return job.stmt < 0 || rows_[static_cast<std::size_t>(job.stmt)].open;
}

void Book::ended(exchange::Job& job) {
  touch();
  TimePoint now = scheduler_.now();
  if (job.stmt < 0 && job.unplaced) return rules_.unasked(job.store, now);
  auto pointOf = [&](std::optional<WallTime> position) -> std::optional<TimePoint> {
    if (!position) return std::nullopt;
    return scheduler_.wall().pointOf(*position);
  };
  Report report{pointOf(job.report.position), job.report.primary};
  if (job.stmt < 0) {
    // Danger: a store whose answer can't be read has answered; it is not away.
    bool answered = job.ending == Ending::ok || job.ending == Ending::spoilt || job.ending == Ending::invalid;
    rules_.probed(job.store, answered, report, now, job.role);
    return;
  }
  Statement& st = row(job.stmt);
  st.jobs[static_cast<std::size_t>(job.execution)] = nullptr;
  --st.out;
  // An error that blames the statement is its client's to see, as the store worded it.
  bool completes = st.open && (job.ending == Ending::ok || job.ending == Ending::invalid);
  Result r;
  r.execution = job.execution;
  r.ending = job.ending;
  r.role = job.role;
  r.position = pointOf(job.position);
  r.report = report;
  r.took = now - job.begun;
  r.closed = completes || !st.open;
  rules_.resolved(job.stmt, r, now);
  if (completes) {
    relay_.completed(st, job);
    close(job.stmt);
  } else {
    offer(job.stmt);
  }
}

}  // namespace reedchute::stages

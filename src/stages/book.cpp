#include "stages/book.h"

#include <algorithm>
#include <utility>

#include "guard/violations.h"
#include "log/log.h"

namespace reedchute::stages {
namespace {

// STANDING: an attempt may begin so long after its client has gone, and a store may be told so much more than is left.
constexpr Span kLeftSlack{100'000}, kToldSlack{150'000};

}  // namespace

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
    return std::any_of(st.attempts.begin(), st.attempts.end(), [&](const auto& a) { return a.store == store; });
  });
}

bool Book::wanted(const exchange::Job& job) const {
  return job.stmt < 0 || rows_[static_cast<std::size_t>(job.stmt)].open;
}

bool Book::mayLeave(const exchange::Job& job, TimePoint now) {
  if (job.stmt < 0)
    return !job.cancelled && job.until > now && job.sendBy > now &&
           !guard_.drained(job.store, terms_.drainGrace, now);
  Statement& st = row(job.stmt);
  auto execution = static_cast<std::size_t>(job.execution);
  // Written once more, as its store had lost the texts that it needs, it has not run itself.
  TimePoint& leftAt = st.attempts[execution].leftAt;
  leftAt = kNever;
  guard::Departure d;
  d.workload = st.workload, d.store = job.store;
  d.open = st.open, d.clientGone = st.open && st.asker->gone(), d.cancelled = job.cancelled;
  d.until = job.until, d.sendBy = job.sendBy;
  guard::Refusal why = guard_.mayLeave(d, st.attempts, now);
  if (why == guard::Refusal::none) {
    leftAt = now;
    return true;
  }
  ++refused_[static_cast<std::size_t>(why)];
  log::line("attempt_refused", "id=%s store=%d attempt=%zu why=%s", st.id.c_str(), job.store, execution,
            guard::nameOf(why));
  return false;
}

void Book::noteEnd(const exchange::Job& job, Statement& st) {
  guard::EarlierAttempt& attempt = st.attempts[static_cast<std::size_t>(job.execution)];
  attempt.leftAt = job.leftAt;
  attempt.mayHaveRun = !guard::provesNothingRan(job.ending);
  st.lastEnding = job.ending;
  if (job.ending != Ending::ok && job.ending != Ending::miss)
    log::line("attempt_ended", "id=%s store=%d attempt=%d ending=%s left_ms=%lld", st.id.c_str(), job.store,
              job.execution, exchange::nameOf(job.ending), static_cast<long long>((st.giveUpAt - scheduler_.now()).us / 1000));
  checkDeparture(job, st);
}

// What has left is held against the rules once more, by the moments at which it was really written.
void Book::checkDeparture(const exchange::Job& job, const Statement& st) const {
  if (job.leftAt == kNever) return;
  const char* id = st.id.c_str();
  TimePoint whole = std::max(job.leftAt, job.wholeAt);
  if (job.leftAt > st.clientLeftAt + kLeftSlack)
    guard::violated(guard::Rule::client, "id=%s store=%d", id, job.store);
  if (whole > st.giveUpAt + guard::AttemptGuard::kHeldUp)
    guard::violated(guard::Rule::time, "id=%s store=%d what=late", id, job.store);
  if (Span{job.toldMs * 1000} > std::max(Span{}, st.giveUpAt - whole) + kToldSlack)
    guard::violated(guard::Rule::time, "id=%s store=%d told_ms=%lld", id, job.store, static_cast<long long>(job.toldMs));
  if (guard_.drained(job.store, terms_.drainGrace, job.leftAt))
    guard::violated(guard::Rule::drain, "id=%s store=%d", id, job.store);
  const Workload& w = terms_.workloads[static_cast<std::size_t>(st.workload)];
  for (int k = 0; k < job.execution && w.effect != Effect::idempotent; ++k) {
    const guard::EarlierAttempt& earlier = st.attempts[static_cast<std::size_t>(k)];
    if (earlier.leftAt == kNever || !earlier.mayHaveRun) continue;
    if (w.effect == Effect::nonIdempotent || whole - earlier.leftAt > w.window)
      guard::violated(guard::Rule::repeat, "id=%s store=%d attempt=%d after=%d", id, job.store, job.execution, k);
  }
  if (whole > job.sendBy + guard::AttemptGuard::kHeldUp && job.wholeAt != kNever)
    guard::violated(guard::Rule::freshness, "id=%s store=%d", id, job.store);
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
  noteEnd(job, st);
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

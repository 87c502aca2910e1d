#include "pipeline/statement_table.h"

#include <algorithm>
#include <utility>

#include "invariants/violations.h"
#include "log/log.h"

namespace reedchute::pipeline {
namespace {

// STANDING: an attempt may begin so long after its client has gone, and a store may be told so much
// more than is left.
constexpr Duration kLeftSlack{100'000}, kToldSlack{150'000};

}  // namespace

int StatementTable::enter(Statement st) {
  int statement;
  if (free_.empty()) {
    statement = static_cast<int>(rows_.size());
    rows_.emplace_back();
  } else {
    statement = free_.back();
    free_.pop_back();
  }
  row(statement) = std::move(st);
  if (!row(statement).id.empty()) openIds_.insert(row(statement).id);
  ++open_;
  held_ += costOf(row(statement).payload->size());
  touch();
  return statement;
}

void StatementTable::touch() {
  touched_ = true;
  scheduler_.requestAnotherRound();
}

void StatementTable::close(int statement) {
  Statement& st = row(statement);
  if (!st.open) return;
  st.open = false;
  st.sink = nullptr;
  openIds_.erase(st.id);
  --open_;
  offer(statement);
}

void StatementTable::offer(int statement) {
  if (!row(statement).open && row(statement).out == 0) leaving_.push_back(statement);
}

// Danger: a row that is used again within the round would mix two statements' facts in the module.
void StatementTable::roundEnded() {
  touched_ = false;
  for (int statement : leaving_) {
    held_ -= costOf(row(statement).payload->size());
    row(statement) = {};
    free_.push_back(statement);
  }
  leaving_.clear();
}

bool StatementTable::names(int store) const {
  return std::any_of(rows_.begin(), rows_.end(), [&](const Statement& st) {
    return std::any_of(st.attempts.begin(), st.attempts.end(),
                       [&](const auto& a) { return a.store == store; });
  });
}

bool StatementTable::wanted(const request::UpstreamRequest& job) const {
  return job.statement < 0 || rows_[static_cast<std::size_t>(job.statement)].open;
}

bool StatementTable::mayLeave(const request::UpstreamRequest& job, TimePoint now) {
  if (job.statement < 0)
    return !job.cancelled && job.until > now && job.sendBy > now &&
           !guard_.drained(job.store, settings_.drainGrace, now);
  Statement& st = row(job.statement);
  auto execution = static_cast<std::size_t>(job.execution);
  // Written once more, as its store had lost the texts that it needs, it has not run itself.
  TimePoint& leftAt = st.attempts[execution].leftAt;
  leftAt = kNever;
  invariants::Departure d;
  d.workload = st.workload, d.store = job.store;
  d.open = st.open, d.clientGone = st.open && st.sink->gone(), d.cancelled = job.cancelled;
  d.until = job.until, d.sendBy = job.sendBy;
  invariants::Refusal why = guard_.mayLeave(d, st.attempts, now);
  if (why == invariants::Refusal::none) {
    leftAt = now;
    return true;
  }
  ++refused_[static_cast<std::size_t>(why)];
  log::line("attempt_refused", "id=%s store=%d attempt=%zu why=%s", st.id.c_str(), job.store,
            execution, invariants::nameOf(why));
  return false;
}

void StatementTable::noteEnd(const request::UpstreamRequest& job, Statement& st) {
  invariants::EarlierAttempt& attempt = st.attempts[static_cast<std::size_t>(job.execution)];
  attempt.leftAt = job.leftAt;
  attempt.mayHaveRun = !invariants::provesNothingRan(job.outcome);
  st.lastOutcome = job.outcome;
  if (job.outcome != AttemptOutcome::ok && job.outcome != AttemptOutcome::notServedHere)
    log::line("attempt_ended", "id=%s store=%d attempt=%d ending=%s left_ms=%lld", st.id.c_str(),
              job.store, job.execution, request::nameOf(job.outcome),
              static_cast<long long>((st.giveUpAt - scheduler_.now()).us / 1000));
  checkDeparture(job, st);
}

// What has left is held against the rules once more, by the moments at which it was really written.
void StatementTable::checkDeparture(const request::UpstreamRequest& job,
                                    const Statement& st) const {
  if (job.leftAt == kNever) return;
  const char* id = st.id.c_str();
  TimePoint whole = std::max(job.leftAt, job.wholeAt);
  if (job.leftAt > st.clientLeftAt + kLeftSlack)
    invariants::violated(invariants::Rule::client, "id=%s store=%d", id, job.store);
  if (whole > st.giveUpAt + invariants::AttemptGuard::kHeldUp)
    invariants::violated(invariants::Rule::time, "id=%s store=%d what=late", id, job.store);
  if (Duration{job.toldMs * 1000} > std::max(Duration{}, st.giveUpAt - whole) + kToldSlack)
    invariants::violated(invariants::Rule::time, "id=%s store=%d told_ms=%lld", id, job.store,
                         static_cast<long long>(job.toldMs));
  if (guard_.drained(job.store, settings_.drainGrace, job.leftAt))
    invariants::violated(invariants::Rule::drain, "id=%s store=%d", id, job.store);
  const Workload& w = settings_.workloads[static_cast<std::size_t>(st.workload)];
  for (int k = 0; k < job.execution && w.effect != Effect::idempotent; ++k) {
    const invariants::EarlierAttempt& earlier = st.attempts[static_cast<std::size_t>(k)];
    if (earlier.leftAt == kNever || !earlier.mayHaveRun) continue;
    if (w.effect == Effect::nonIdempotent || whole - earlier.leftAt > w.deduplicationWindow)
      invariants::violated(invariants::Rule::repeat, "id=%s store=%d attempt=%d after=%d", id,
                           job.store, job.execution, k);
  }
  if (whole > job.sendBy + invariants::AttemptGuard::kHeldUp && job.wholeAt != kNever)
    invariants::violated(invariants::Rule::freshness, "id=%s store=%d", id, job.store);
}

void StatementTable::ended(request::UpstreamRequest& job) {
  touch();
  TimePoint now = scheduler_.now();
  if (job.statement < 0 && job.unplaced) return engine_.onProbeNotSent(job.store, now);
  auto pointOf = [&](std::optional<WallTime> position) -> std::optional<TimePoint> {
    if (!position) return std::nullopt;
    return scheduler_.wallClock().toSteady(*position);
  };
  ReplicaReport report{pointOf(job.report.position), job.report.primary};
  if (job.statement < 0) {
    // Danger: a store whose answer can't be read has answered; it is not away.
    bool answered = job.outcome == AttemptOutcome::ok ||
                    job.outcome == AttemptOutcome::malformedResponse ||
                    job.outcome == AttemptOutcome::invalid;
    engine_.onProbeEnded(job.store, answered, report, now, job.role);
    return;
  }
  Statement& st = row(job.statement);
  st.jobs[static_cast<std::size_t>(job.execution)] = nullptr;
  --st.out;
  noteEnd(job, st);
  // An error that blames the statement is its client's to see, as the store worded it.
  bool completes = st.open &&
                   (job.outcome == AttemptOutcome::ok || job.outcome == AttemptOutcome::invalid);
  AttemptResult r;
  r.attempt = job.execution;
  r.outcome = job.outcome;
  r.role = job.role;
  r.position = pointOf(job.position);
  r.report = report;
  r.elapsed = now - job.begun;
  r.closed = completes || !st.open;
  engine_.onAttemptEnded(job.statement, r, now);
  if (completes) {
    responder_.completed(st, job);
    close(job.statement);
  } else {
    offer(job.statement);
  }
}

}  // namespace reedchute::pipeline

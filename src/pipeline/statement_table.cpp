#include "pipeline/statement_table.h"

#include <algorithm>
#include <utility>

#include "invariants/violations.h"
#include "log/log.h"
#include "request/attempt_outcome.h"

namespace reedchute::pipeline {
namespace {

// STANDING: an attempt may begin so long after its client has gone, and a store may be told so much
// more than is left.
constexpr Duration kLeftSlack{100'000}, kToldSlack{150'000};

}  // namespace

int StatementTable::add(Statement st) {
  int statement;
  if (free_.empty()) {
    statement = static_cast<int>(rows_.size());
    rows_.emplace_back();
  } else {
    statement = free_.back();
    free_.pop_back();
  }
  at(statement) = std::move(st);
  if (!at(statement).id.empty()) openIds_.insert(at(statement).id);
  ++open_;
  reservedBytes_ += reservationFor(at(statement).payload->size());
  requestRound();
  return statement;
}

void StatementTable::requestRound() {
  roundRequested_ = true;
  scheduler_.again();
}

void StatementTable::close(int statement) {
  Statement& st = at(statement);
  if (!st.isOpen) return;
  st.isOpen = false;
  st.sink = nullptr;
  openIds_.erase(st.id);
  --open_;
  offer(statement);
}

void StatementTable::offer(int statement) {
  if (!at(statement).isOpen && at(statement).outstandingAttempts == 0)
    leaving_.push_back(statement);
}

// Danger: a row that is used again within the round would mix two statements' facts in the module.
void StatementTable::onRoundEnded() {
  roundRequested_ = false;
  for (int statement : leaving_) {
    reservedBytes_ -= reservationFor(at(statement).payload->size());
    at(statement) = {};
    free_.push_back(statement);
  }
  leaving_.clear();
}

bool StatementTable::refersToStore(int store) const {
  return std::any_of(rows_.begin(), rows_.end(), [&](const Statement& st) {
    return std::any_of(st.attempts.begin(), st.attempts.end(),
                       [&](const auto& a) { return a.store == store; });
  });
}

bool StatementTable::isWanted(const request::UpstreamRequest& job) const {
  return job.statement < 0 || rows_[static_cast<std::size_t>(job.statement)].isOpen;
}

bool StatementTable::maySend(const request::UpstreamRequest& job, TimePoint now) {
  if (job.statement < 0)
    return !job.isCancelled && job.deadline > now && job.sendBy > now &&
           !guard_.isPastDrainGrace(job.store, settings_.drainGrace, now);
  Statement& st = at(job.statement);
  auto execution = static_cast<std::size_t>(job.attempt);
  // Written once more, as its store had lost the texts that it needs, it has not run itself.
  TimePoint& leftAt = st.attempts[execution].sentAt;
  leftAt = kNever;
  invariants::AttemptToSend d;
  d.workload = st.workload, d.store = job.store;
  d.isOpen = st.isOpen, d.isClientGone = st.isOpen && st.sink->isClientGone(),
  d.isCancelled = job.isCancelled;
  d.deadline = job.deadline, d.sendBy = job.sendBy;
  invariants::Refusal why = guard_.refusalToSend(d, st.attempts, now);
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
  invariants::EarlierAttempt& attempt = st.attempts[static_cast<std::size_t>(job.attempt)];
  attempt.sentAt = job.firstByteSentAt;
  attempt.mayHaveRun = !invariants::provesNothingRan(job.outcome);
  st.lastOutcome = job.outcome;
  if (job.outcome != AttemptOutcome::ok && job.outcome != AttemptOutcome::notServedHere)
    log::line("attempt_ended", "id=%s store=%d attempt=%d ending=%s left_ms=%lld", st.id.c_str(),
              job.store, job.attempt, request::nameOf(job.outcome),
              static_cast<long long>((st.deadline - scheduler_.now()).us / 1000));
  checkDeparture(job, st);
}

// What has left is held against the rules once more, by the moments at which it was really written.
void StatementTable::checkDeparture(const request::UpstreamRequest& job,
                                    const Statement& st) const {
  if (job.firstByteSentAt == kNever) return;
  const char* id = st.id.c_str();
  TimePoint whole = std::max(job.firstByteSentAt, job.lastByteSentAt);
  if (job.firstByteSentAt > st.clientGoneAt + kLeftSlack)
    invariants::reportViolation(invariants::Rule::clientPresent, "id=%s store=%d", id, job.store);
  if (whole > st.deadline + invariants::AttemptGuard::kMaxStall)
    invariants::reportViolation(invariants::Rule::withinDeadline, "id=%s store=%d what=late", id,
                                job.store);
  if (Duration{job.announcedTimeoutMs * 1000} >
      std::max(Duration{}, st.deadline - whole) + kToldSlack)
    invariants::reportViolation(invariants::Rule::withinDeadline, "id=%s store=%d told_ms=%lld", id,
                                job.store, static_cast<long long>(job.announcedTimeoutMs));
  if (guard_.isPastDrainGrace(job.store, settings_.drainGrace, job.firstByteSentAt))
    invariants::reportViolation(invariants::Rule::drainGrace, "id=%s store=%d", id, job.store);
  const Workload& w = settings_.workloads[static_cast<std::size_t>(st.workload)];
  for (int k = 0; k < job.attempt && w.effect != Effect::idempotent; ++k) {
    const invariants::EarlierAttempt& earlier = st.attempts[static_cast<std::size_t>(k)];
    if (earlier.sentAt == kNever || !earlier.mayHaveRun) continue;
    if (w.effect == Effect::nonIdempotent || whole - earlier.sentAt > w.deduplicationWindow)
      invariants::reportViolation(invariants::Rule::singleEffect,
                                  "id=%s store=%d attempt=%d after=%d", id, job.store, job.attempt,
                                  k);
  }
  if (whole > job.sendBy + invariants::AttemptGuard::kMaxStall && job.lastByteSentAt != kNever)
    invariants::reportViolation(invariants::Rule::freshness, "id=%s store=%d", id, job.store);
}

void StatementTable::onRequestEnded(request::UpstreamRequest& job) {
  requestRound();
  TimePoint now = scheduler_.now();
  if (job.statement < 0 && job.lackedConnectionSlot) return engine_.onProbeNotSent(job.store, now);
  auto pointOf = [&](std::optional<WallTime> position) -> std::optional<TimePoint> {
    if (!position) return std::nullopt;
    return scheduler_.wall().pointOf(*position);
  };
  ReplicaReport report{pointOf(job.report.position), job.report.isPrimary};
  if (job.statement < 0) {
    // Danger: a store whose answer can't be read has answered; it is not away.
    bool answered = job.outcome == AttemptOutcome::ok ||
                    job.outcome == AttemptOutcome::malformedResponse ||
                    job.outcome == AttemptOutcome::invalid;
    engine_.onProbeEnded(job.store, answered, report, now, job.role);
    return;
  }
  Statement& st = at(job.statement);
  st.requests[static_cast<std::size_t>(job.attempt)] = nullptr;
  --st.outstandingAttempts;
  noteEnd(job, st);
  // An error that blames the statement is its client's to see, as the store worded it.
  bool completes = st.isOpen &&
                   (job.outcome == AttemptOutcome::ok || job.outcome == AttemptOutcome::invalid);
  AttemptResult r;
  r.attempt = job.attempt;
  r.outcome = job.outcome;
  r.role = job.role;
  r.position = pointOf(job.position);
  r.report = report;
  r.elapsed = now - job.startedAt;
  r.closed = completes || !st.isOpen;
  engine_.onAttemptEnded(job.statement, r, now);
  if (completes) {
    responder_.complete(st, job);
    close(job.statement);
  } else {
    offer(job.statement);
  }
}

}  // namespace reedchute::pipeline

#include "pipeline/attempt_reporter.h"

#include "log/log.h"
#include "request/attempt_outcome.h"

namespace reedchute::pipeline {
namespace {

bool isProbe(const request::UpstreamRequest& request) {
  return request.statement < 0;
}

// A store that sent a malformed response is nevertheless reachable.
bool hasResponded(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::ok || outcome == AttemptOutcome::malformedResponse ||
         outcome == AttemptOutcome::invalid;
}

// An error in the statement itself is passed to the client unchanged.
bool isFinal(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::ok || outcome == AttemptOutcome::invalid;
}

// True if a replica states with its response that its data is older than that of the read which the
// statement continues. Its process must have been started from an older copy, unnoticed so far.
bool isOlderThanPrecedingRead(const request::UpstreamRequest& request, const Statement& statement) {
  return request.outcome == AttemptOutcome::ok && request.role == Role::replica &&
         statement.precedingPosition && request.statedPosition &&
         *request.statedPosition < *statement.precedingPosition;
}

}  // namespace

bool AttemptReporter::isWanted(const request::UpstreamRequest& request) const {
  return isProbe(request) || statements_.at(request.statement).isOpen;
}

bool AttemptReporter::mayOutliveRequest(const request::UpstreamRequest& request) const {
  return settings_.allowsHedging || !isWanted(request);
}

bool AttemptReporter::maySend(const request::UpstreamRequest& request, TimePoint now) {
  if (isProbe(request)) return gate_.maySendProbe(request, now);
  return gate_.maySendAttempt(request, statements_.at(request.statement), now);
}

void AttemptReporter::onRequestEnded(request::UpstreamRequest& request) {
  rounds_.request();
  if (isProbe(request))
    onProbeEnded(request);
  else
    onAttemptEnded(request);
}

void AttemptReporter::onProbeEnded(const request::UpstreamRequest& probe) {
  TimePoint now = scheduler_.now();
  if (probe.lackedConnectionSlot) return engine_.onProbeNotSent(probe.store, now);
  engine_.onProbeEnded(probe.store, hasResponded(probe.outcome), reportOf(probe), now, probe.role);
}

void AttemptReporter::onAttemptEnded(request::UpstreamRequest& request) {
  TimePoint now = scheduler_.now();
  Statement& statement = statements_.at(request.statement);
  statement.requests[static_cast<std::size_t>(request.attempt)] = nullptr;
  --statement.outstandingAttempts;
  if (isOlderThanPrecedingRead(request, statement)) {
    log::line("page_too_old", "id=%s store=%d", statement.id.c_str(), request.store);
    request.outcome = AttemptOutcome::error;
  }
  recordOutcome(request, statement);
  check_.check(request, statement);
  bool completes = statement.isOpen && isFinal(request.outcome);
  AttemptResult result{
      .attempt = request.attempt,
      .outcome = request.outcome,
      .role = request.role,
      .position = timeOf(request.position),
      .elapsed = now - request.startedAt,
      .closed = completes || !statement.isOpen,
      .report = reportOf(request),
  };
  engine_.onAttemptEnded(request.statement, result, now);
  if (!completes) return statements_.releaseIfEnded(request.statement);
  responder_.complete(statement, request);
  statements_.close(request.statement);
}

void AttemptReporter::recordOutcome(const request::UpstreamRequest& request,
                                    Statement& statement) const {
  invariants::EarlierAttempt& attempt =
      statement.attempts[static_cast<std::size_t>(request.attempt)];
  attempt.sentAt = request.firstByteSentAt;
  attempt.mayHaveRun = !invariants::provesNothingRan(request.outcome);
  statement.lastOutcome = request.outcome;
  if (request.outcome == AttemptOutcome::ok || request.outcome == AttemptOutcome::notServedHere)
    return;
  Duration remaining = statement.deadline - scheduler_.now();
  log::line("attempt_ended", "id=%s store=%d attempt=%d ending=%s left_ms=%lld",
            statement.id.c_str(), request.store, request.attempt, request::nameOf(request.outcome),
            static_cast<long long>(remaining.us / 1000));
}

std::optional<TimePoint> AttemptReporter::timeOf(std::optional<WallTime> position) const {
  if (!position) return std::nullopt;
  return scheduler_.wallClock().toSteady(*position);
}

ReplicaReport AttemptReporter::reportOf(const request::UpstreamRequest& request) const {
  return {timeOf(request.report.position), request.report.isPrimary};
}

}  // namespace reedchute::pipeline

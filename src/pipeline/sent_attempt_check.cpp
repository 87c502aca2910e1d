#include "pipeline/sent_attempt_check.h"

#include <algorithm>

#include "invariants/violations.h"

namespace reedchute::pipeline {
namespace {

using invariants::AttemptGuard;
using invariants::reportViolation;
using invariants::Rule;

// How long after the client's disconnect the first byte may still be written.
constexpr Duration kMaxSendAfterClientGone{100'000};
// By how much the announced timeout may exceed the time left when the write ended.
constexpr Duration kMaxAnnouncedExcess{150'000};

TimePoint lastWriteTime(const request::UpstreamRequest& request) {
  return std::max(request.firstByteSentAt, request.lastByteSentAt);
}

}  // namespace

void SentAttemptCheck::check(const request::UpstreamRequest& request,
                             const Statement& statement) const {
  if (request.firstByteSentAt == kNever) return;
  checkClient(request, statement);
  if (guard_.isPastDrainGrace(request.store, settings_.drainGrace, request.firstByteSentAt))
    reportViolation(Rule::drainGrace, "id=%s store=%d", statement.id.c_str(), request.store);
  checkSingleEffect(request, statement);
  if (request.lastByteSentAt == kNever) return;
  if (lastWriteTime(request) > request.sendBy + AttemptGuard::kMaxStall)
    reportViolation(Rule::freshness, "id=%s store=%d", statement.id.c_str(), request.store);
}

// Checks that the client was still connected when the attempt was written, that the write ended
// before the statement's deadline, and that the timeout announced to the store wasn't too long.
void SentAttemptCheck::checkClient(const request::UpstreamRequest& request,
                                   const Statement& statement) const {
  const char* id = statement.id.c_str();
  TimePoint writtenAt = lastWriteTime(request);
  if (request.firstByteSentAt > statement.clientGoneAt + kMaxSendAfterClientGone)
    reportViolation(Rule::clientPresent, "id=%s store=%d", id, request.store);
  if (writtenAt > statement.deadline + AttemptGuard::kMaxStall)
    reportViolation(Rule::withinDeadline, "id=%s store=%d what=late", id, request.store);
  Duration announced{request.announcedTimeoutMs * 1000};
  Duration remaining = std::max(Duration{}, statement.deadline - writtenAt);
  if (announced > remaining + kMaxAnnouncedExcess)
    reportViolation(Rule::withinDeadline, "id=%s store=%d told_ms=%lld", id, request.store,
                    static_cast<long long>(request.announcedTimeoutMs));
}

// Checks that the attempt can't have repeated the effect of an earlier one.
void SentAttemptCheck::checkSingleEffect(const request::UpstreamRequest& request,
                                         const Statement& statement) const {
  const Workload& workload = settings_.workloads[static_cast<std::size_t>(statement.workload)];
  if (workload.effect == Effect::idempotent) return;
  TimePoint writtenAt = lastWriteTime(request);
  for (int number = 0; number < request.attempt; ++number) {
    const invariants::EarlierAttempt& earlier =
        statement.attempts[static_cast<std::size_t>(number)];
    if (earlier.sentAt == kNever || !earlier.mayHaveRun) continue;
    if (workload.effect == Effect::nonIdempotent ||
        writtenAt - earlier.sentAt > workload.deduplicationWindow)
      reportViolation(Rule::singleEffect, "id=%s store=%d attempt=%d after=%d",
                      statement.id.c_str(), request.store, request.attempt, number);
  }
}

}  // namespace reedchute::pipeline

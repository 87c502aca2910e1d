#include "pipeline/sent_attempt_check.h"

#include <algorithm>

#include "invariants/violations.h"

namespace reedchute::pipeline {
namespace {

using invariants::AttemptGuard;
using invariants::reportViolation;
using invariants::Rule;

constexpr Duration kMaxSendAfterClientGone{100'000};
constexpr Duration kMaxAnnouncedExcess{150'000};  // over the time that is left at the write

TimePoint sentWholeAt(const request::UpstreamRequest& request) {
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
  if (sentWholeAt(request) > request.sendBy + AttemptGuard::kMaxStall)
    reportViolation(Rule::freshness, "id=%s store=%d", statement.id.c_str(), request.store);
}

// The attempt is for a client that waits, and no longer than that client waits.
void SentAttemptCheck::checkClient(const request::UpstreamRequest& request,
                                   const Statement& statement) const {
  const char* id = statement.id.c_str();
  TimePoint whole = sentWholeAt(request);
  if (request.firstByteSentAt > statement.clientGoneAt + kMaxSendAfterClientGone)
    reportViolation(Rule::clientPresent, "id=%s store=%d", id, request.store);
  if (whole > statement.deadline + AttemptGuard::kMaxStall)
    reportViolation(Rule::withinDeadline, "id=%s store=%d what=late", id, request.store);
  Duration announced{request.announcedTimeoutMs * 1000};
  Duration remaining = std::max(Duration{}, statement.deadline - whole);
  if (announced > remaining + kMaxAnnouncedExcess)
    reportViolation(Rule::withinDeadline, "id=%s store=%d told_ms=%lld", id, request.store,
                    static_cast<long long>(request.announcedTimeoutMs));
}

// No earlier attempt may have taken effect that this one repeats.
void SentAttemptCheck::checkSingleEffect(const request::UpstreamRequest& request,
                                         const Statement& statement) const {
  const Workload& workload = settings_.workloads[static_cast<std::size_t>(statement.workload)];
  if (workload.effect == Effect::idempotent) return;
  TimePoint whole = sentWholeAt(request);
  for (int number = 0; number < request.attempt; ++number) {
    const invariants::EarlierAttempt& earlier =
        statement.attempts[static_cast<std::size_t>(number)];
    if (earlier.sentAt == kNever || !earlier.mayHaveRun) continue;
    if (workload.effect == Effect::nonIdempotent ||
        whole - earlier.sentAt > workload.deduplicationWindow)
      reportViolation(Rule::singleEffect, "id=%s store=%d attempt=%d after=%d",
                      statement.id.c_str(), request.store, request.attempt, number);
  }
}

}  // namespace reedchute::pipeline

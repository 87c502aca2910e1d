#include "invariants/attempt_guard.h"

#include <algorithm>

namespace reedchute::invariants {

const char* nameOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::statementClosed:
      return "closed";
    case Refusal::clientGone:
      return "client_gone";
    case Refusal::cancelled:
      return "cancelled";
    case Refusal::deadlinePassed:
      return "time_over";
    case Refusal::sendByPassed:
      return "leaves_late";
    case Refusal::storeDraining:
      return "drains";
    case Refusal::mayHaveRun:
      return "may_have_run";
    case Refusal::deduplicationWindowOver:
      return "window_over";
    case Refusal::outOfDeduplicationScope:
      return "out_of_scope";
    default:
      return "none";
  }
}

bool provesNothingRan(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::overloaded || outcome == AttemptOutcome::connectFailed ||
         outcome == AttemptOutcome::neverSent || outcome == AttemptOutcome::notServedHere;
}

const AttemptGuard::Store& AttemptGuard::at(int store) const {
  static const Store unknown;
  bool isKnown = store >= 0 && static_cast<std::size_t>(store) < stores_.size();
  return isKnown ? stores_[static_cast<std::size_t>(store)] : unknown;
}

void AttemptGuard::onEndpointListed(int store, int group, int zone, EndpointStatus status,
                                    TimePoint now) {
  auto index = static_cast<std::size_t>(store);
  if (stores_.size() <= index) stores_.resize(index + 1);
  Store& listed = stores_[index];
  listed.group = group;
  listed.zone = zone;
  bool isDraining = status == EndpointStatus::draining ||
                    (status == EndpointStatus::gone && settings_.removalMeansDrained);
  if (status == EndpointStatus::up)
    listed.drainingSince = kForever;
  else if (isDraining)
    listed.drainingSince = std::min(listed.drainingSince, now);
}

void AttemptGuard::onEndpointDropped(int store, TimePoint now) {
  onEndpointListed(store, at(store).group, at(store).zone, EndpointStatus::gone, now);
}

void AttemptGuard::forget(int store) {
  auto index = static_cast<std::size_t>(store);
  if (index < stores_.size()) stores_[index] = {};
}

bool AttemptGuard::isPastDrainGrace(int store, Duration grace, TimePoint now) const {
  TimePoint since = at(store).drainingSince;
  return since < kForever && now - since >= grace;
}

// True if `store` knows the idempotency keys that `earlierStore` has received.
bool AttemptGuard::sharesKeys(Scope scope, int store, int earlierStore) const {
  switch (scope) {
    case Scope::everywhere:
      return true;
    case Scope::zone:
      return at(store).zone == at(earlierStore).zone;
    case Scope::group:
      return at(store).group == at(earlierStore).group;
  }
  return false;
}

Refusal AttemptGuard::refusalToRetry(const AttemptToSend& attempt,
                                     const std::vector<EarlierAttempt>& earlier,
                                     TimePoint now) const {
  const Workload& workload = settings_.workloads[static_cast<std::size_t>(attempt.workload)];
  if (workload.effect == Effect::idempotent) return Refusal::none;
  for (const EarlierAttempt& other : earlier) {
    if (other.sentAt == kNever || !other.mayHaveRun) continue;
    if (workload.effect == Effect::nonIdempotent) return Refusal::mayHaveRun;
    if (now - other.sentAt >= workload.deduplicationWindow) return Refusal::deduplicationWindowOver;
    if (!sharesKeys(workload.scope, attempt.store, other.store))
      return Refusal::outOfDeduplicationScope;
  }
  return Refusal::none;
}

Refusal AttemptGuard::refusalToSend(const AttemptToSend& attempt,
                                    const std::vector<EarlierAttempt>& earlier,
                                    TimePoint now) const {
  if (!attempt.isOpen) return Refusal::statementClosed;
  if (attempt.isCancelled) return Refusal::cancelled;
  if (now >= attempt.deadline) return Refusal::deadlinePassed;
  if (now >= attempt.sendBy) return Refusal::sendByPassed;
  // The process may be paused between this check and the write, so the grace ends earlier here.
  Duration grace = std::max(Duration{}, settings_.drainGrace - kMaxStall);
  if (isPastDrainGrace(attempt.store, grace, now)) return Refusal::storeDraining;
  Refusal retry = refusalToRetry(attempt, earlier, now);
  if (retry != Refusal::none) return retry;
  return attempt.isClientGone ? Refusal::clientGone : Refusal::none;
}

}  // namespace reedchute::invariants

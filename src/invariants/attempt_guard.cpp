#include "invariants/attempt_guard.h"

#include <algorithm>

namespace reedchute::invariants {

const char* nameOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::closed:
      return "closed";
    case Refusal::clientGone:
      return "client_gone";
    case Refusal::cancelled:
      return "cancelled";
    case Refusal::timeOver:
      return "time_over";
    case Refusal::leavesLate:
      return "leaves_late";
    case Refusal::drains:
      return "drains";
    case Refusal::mayHaveRun:
      return "may_have_run";
    case Refusal::windowOver:
      return "window_over";
    case Refusal::outOfScope:
      return "out_of_scope";
    default:
      return "none";
  }
}

bool provesNothingRan(AttemptOutcome ending) {
  return ending == AttemptOutcome::overloaded || ending == AttemptOutcome::connectFailed ||
         ending == AttemptOutcome::neverSent || ending == AttemptOutcome::notServedHere;
}

const AttemptGuard::Store& AttemptGuard::at(int store) const {
  static const Store unknown;
  bool known = store >= 0 && static_cast<std::size_t>(store) < stores_.size();
  return known ? stores_[static_cast<std::size_t>(store)] : unknown;
}

void AttemptGuard::listed(int store, int group, int zone, EndpointStatus as, TimePoint now) {
  if (stores_.size() <= static_cast<std::size_t>(store))
    stores_.resize(static_cast<std::size_t>(store) + 1);
  Store& s = stores_[static_cast<std::size_t>(store)];
  s.group = group, s.zone = zone;
  bool binds = as == EndpointStatus::draining ||
               (as == EndpointStatus::gone && settings_.removalMeansDrained);
  if (as == EndpointStatus::up)
    s.drainsSince = kForever;
  else if (binds)
    s.drainsSince = std::min(s.drainsSince, now);
}

void AttemptGuard::dropped(int store, TimePoint now) {
  listed(store, at(store).group, at(store).zone, EndpointStatus::gone, now);
}

void AttemptGuard::forget(int store) {
  if (static_cast<std::size_t>(store) < stores_.size())
    stores_[static_cast<std::size_t>(store)] = {};
}

bool AttemptGuard::drained(int store, Duration grace, TimePoint now) const {
  TimePoint since = at(store).drainsSince;
  return since < kForever && now - since >= grace;
}

Refusal AttemptGuard::mayRepeat(const Departure& d, const std::vector<EarlierAttempt>& earlier,
                                TimePoint now) const {
  const Workload& w = settings_.workloads[static_cast<std::size_t>(d.workload)];
  if (w.effect == Effect::idempotent) return Refusal::none;
  for (const EarlierAttempt& e : earlier) {
    if (e.leftAt == kNever || !e.mayHaveRun) continue;
    if (w.effect == Effect::nonIdempotent) return Refusal::mayHaveRun;
    if (now - e.leftAt >= w.deduplicationWindow) return Refusal::windowOver;
    bool known = w.scope == Scope::everywhere ||
                 (w.scope == Scope::zone ? at(d.store).zone == at(e.store).zone
                                         : at(d.store).group == at(e.store).group);
    if (!known) return Refusal::outOfScope;
  }
  return Refusal::none;
}

Refusal AttemptGuard::mayLeave(const Departure& d, const std::vector<EarlierAttempt>& earlier,
                               TimePoint now) const {
  if (!d.open) return Refusal::closed;
  if (d.cancelled) return Refusal::cancelled;
  if (now >= d.until) return Refusal::timeOver;
  if (now >= d.sendBy) return Refusal::leavesLate;
  if (drained(d.store, std::max(Duration{}, settings_.drainGrace - kHeldUp), now))
    return Refusal::drains;
  if (Refusal repeat = mayRepeat(d, earlier, now); repeat != Refusal::none) return repeat;
  return d.clientGone ? Refusal::clientGone : Refusal::none;
}

}  // namespace reedchute::invariants

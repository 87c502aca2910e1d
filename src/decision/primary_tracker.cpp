#include "decision/primary_tracker.h"

#include <algorithm>

#include "decision/indexed_array.h"

namespace reedchute {

void PrimaryTracker::reset(int store) {
  assignAt(role_, store, Role::unknown);
  assignAt(seenAsPrimaryAt_, store, kNever);
  assignAt(seenAsReplicaAt_, store, kNever);
  assignAt(confirmationRevokedAt_, store, kNever);
}

void PrimaryTracker::ensureGroup(int group) {
  ensureIndex(groups_, group);
}

bool PrimaryTracker::isPrimaryOnlyReported(int group) const {
  return groups_[group].evidence == RoleEvidence::reported;
}

// An endpoint list whose roles are those of process start could name a store as primary again that
// has responded as a replica and was removed since, which cleared its role here.
void PrimaryTracker::onListedAsPrimary(int group, int store, bool isPrimaryUsable, TimePoint now) {
  const Group& state = groups_[group];
  if (role_[store] != Role::unknown) return;
  if (state.primary == store) return;
  if (state.primary < 0) {
    bool mayBeOld = state.hasMoved && !settings_.endpointRolesAreCurrent;
    if (mayBeOld) return;
  } else {
    if (!settings_.endpointRolesAreCurrent) return;
    if (state.evidence != RoleEvidence::listed && isPrimaryUsable) return;
  }
  setPrimary(group, store, RoleEvidence::listed, now);
}

void PrimaryTracker::onObserved(int group, int store, const RoleObservation& observation,
                                TimePoint now) {
  if (observation.role == Role::unknown || group < 0) return;
  if (observation.role == Role::primary)
    onSeenAsPrimary(group, store, observation, now);
  else
    onSeenAsReplica(group, store, observation.at, now);
}

void PrimaryTracker::onSeenAsPrimary(int group, int store, const RoleObservation& observation,
                                     TimePoint now) {
  Group& state = groups_[group];
  TimePoint at = observation.at;
  bool isReport = observation.source == RoleSource::report;
  if (at <= seenAsReplicaAt_[store]) return;
  if (!isReport && at <= confirmationRevokedAt_[store]) return;
  // A report may arrive between a send and its response, and then seems newer than the response.
  if (!isReport && state.primary == store) state.evidence = RoleEvidence::confirmed;
  if (at <= seenAsPrimaryAt_[store]) return;
  seenAsPrimaryAt_[store] = at;
  role_[store] = Role::primary;
  if (state.primary == store) {
    bool confirms = !isReport || state.evidence != RoleEvidence::reported;
    if (confirms) state.evidence = RoleEvidence::confirmed;
    return;
  }
  // If two stores claim the role, the one last seen in it is the primary.
  bool isLatest = state.primary < 0 || seenAsPrimaryAt_[state.primary] < at;
  if (isLatest)
    setPrimary(group, store, isReport ? RoleEvidence::reported : RoleEvidence::confirmed, now);
}

// A report that seems older than the last observation as primary may be recent, from a store whose
// position didn't advance, so the role is no longer confirmed. Or it is old and says nothing about
// a store promoted since, so the role isn't dropped either.
void PrimaryTracker::onSeenAsReplica(int group, int store, TimePoint at, TimePoint now) {
  revokeConfirmation(group, store, now);
  if (at < seenAsPrimaryAt_[store]) return;
  role_[store] = Role::replica;
  seenAsReplicaAt_[store] = std::max(seenAsReplicaAt_[store], at);
  Group& state = groups_[group];
  if (state.primary == store) dropPrimary(state);
}

void PrimaryTracker::dropPrimary(Group& group) {
  group.primary = -1;
  group.hasMoved = true;
}

// Until the store responds as primary to an attempt sent from now on, a report counts as the only
// evidence for its role.
void PrimaryTracker::revokeConfirmation(int group, int store, TimePoint now) {
  confirmationRevokedAt_[store] = now;
  Group& state = groups_[group];
  bool isConfirmed = state.primary == store && state.evidence == RoleEvidence::confirmed;
  if (isConfirmed) state.evidence = RoleEvidence::reported;
}

// A failed primary may restart as a replica whose position is still the one at which it was last
// seen as primary, so its reports seem older than that. From now on any report states its role.
void PrimaryTracker::onRestarted(int group, int store, TimePoint now) {
  seenAsPrimaryAt_[store] = kNever;
  revokeConfirmation(group, store, now);
}

void PrimaryTracker::onRemoved(int store) {
  for (Group& group : groups_)
    if (group.primary == store) group.primary = -1;
}

void PrimaryTracker::setPrimary(int group, int store, RoleEvidence evidence, TimePoint now) {
  Group& state = groups_[group];
  state.primary = store;
  state.evidence = evidence;
  state.since = now;
  if (evidence != RoleEvidence::listed) state.hasMoved = true;
}

void PrimaryTracker::onSearched(int group, int nextCandidate, TimePoint now) {
  groups_[group].nextCandidate = nextCandidate;
  groups_[group].lastSearch = now;
}

}  // namespace reedchute

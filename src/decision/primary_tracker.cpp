#include "decision/primary_tracker.h"

#include <algorithm>

#include "decision/indexed_array.h"

namespace reedchute {

void PrimaryTracker::reset(int store) {
  assignAt(role_, store, Role::unknown);
  assignAt(primaryAt_, store, kNever);
  assignAt(replicaAt_, store, kNever);
  assignAt(doubtedAt_, store, kNever);
}

void PrimaryTracker::ensureGroup(int group) {
  ensureIndex(groups_, group);
}

bool PrimaryTracker::restsOnReport(int group) const {
  return groups_[group].evidence == RoleEvidence::reported;
}

// A list with the roles as at the start would name a store again that has told otherwise and was
// removed since.
void PrimaryTracker::onListedAsPrimary(int group, int store, bool isPrimaryUsable, TimePoint now) {
  const Group& known = groups_[group];
  if (role_[store] != Role::unknown) return;
  if (known.primary == store) return;
  if (known.primary < 0) {
    bool mayBeOld = known.hasMoved && !settings_.endpointRolesAreCurrent;
    if (mayBeOld) return;
  } else {
    if (!settings_.endpointRolesAreCurrent) return;
    if (known.evidence != RoleEvidence::listed && isPrimaryUsable) return;
  }
  name(group, store, RoleEvidence::listed, now);
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
  Group& known = groups_[group];
  TimePoint at = observation.at;
  bool byReport = observation.source == RoleSource::report;
  if (at <= replicaAt_[store]) return;
  if (!byReport && at <= doubtedAt_[store]) return;
  // A report may come between a send and the response to it, and then seems newer.
  if (!byReport && known.primary == store) known.evidence = RoleEvidence::confirmed;
  if (at <= primaryAt_[store]) return;
  primaryAt_[store] = at;
  role_[store] = Role::primary;
  if (known.primary == store) {
    bool confirms = !byReport || known.evidence != RoleEvidence::reported;
    if (confirms) known.evidence = RoleEvidence::confirmed;
    return;
  }
  // Where two stores claim the role, the one that was seen in it last has it.
  bool isLatest = known.primary < 0 || primaryAt_[known.primary] < at;
  if (isLatest)
    name(group, store, byReport ? RoleEvidence::reported : RoleEvidence::confirmed, now);
}

// A report that seems older than the last sight as primary may be new, of a store that stood still,
// so it casts doubt on the role. Or it is old, and says nothing about a store promoted since.
void PrimaryTracker::onSeenAsReplica(int group, int store, TimePoint at, TimePoint now) {
  doubt(group, store, now);
  if (at < primaryAt_[store]) return;
  role_[store] = Role::replica;
  replicaAt_[store] = std::max(replicaAt_[store], at);
  Group& known = groups_[group];
  if (known.primary == store) dropPrimary(known);
}

void PrimaryTracker::dropPrimary(Group& group) {
  group.primary = -1;
  group.hasMoved = true;
}

// Until the store has responded as primary to what is sent from now on, it counts as one that a
// report alone names.
void PrimaryTracker::doubt(int group, int store, TimePoint now) {
  doubtedAt_[store] = now;
  Group& known = groups_[group];
  bool isConfirmed = known.primary == store && known.evidence == RoleEvidence::confirmed;
  if (isConfirmed) known.evidence = RoleEvidence::reported;
}

// A primary that died comes back as a replica whose position stands where it was last seen as
// primary, so its reports seem older than that. Any report tells its role from now on.
void PrimaryTracker::onRestarted(int group, int store, TimePoint now) {
  primaryAt_[store] = kNever;
  doubt(group, store, now);
}

void PrimaryTracker::onRemoved(int store) {
  for (Group& group : groups_)
    if (group.primary == store) group.primary = -1;
}

void PrimaryTracker::name(int group, int store, RoleEvidence evidence, TimePoint now) {
  Group& known = groups_[group];
  known.primary = store;
  known.evidence = evidence;
  known.since = now;
  if (evidence != RoleEvidence::listed) known.hasMoved = true;
}

void PrimaryTracker::onSearched(int group, int nextCandidate, TimePoint now) {
  groups_[group].nextCandidate = nextCandidate;
  groups_[group].lastSearch = now;
}

}  // namespace reedchute

// Which store of each group is the primary, and on whose word.
//
// Owns the roles in which stores were last seen and the turns of the search for a primary. The
// primary is the store that was seen in that role last. A read that must be current may rest on the
// role only where the store itself has confirmed it, or the list alone names it.
#pragma once

#include <vector>

#include "base/time.h"
#include "decision/types.h"

namespace reedchute {

enum class RoleSource { response, report };

// A store was seen in a role at a time. A response may be read long after it was written, or
// overtake one to what was sent later: as a primary's it counts from the send, as a replica's from
// the reading. A report counts from its position.
struct RoleObservation {
  Role role = Role::unknown;
  TimePoint at;
  RoleSource source = RoleSource::response;
};

class PrimaryTracker {
 public:
  explicit PrimaryTracker(const EngineSettings& settings) : settings_(settings) {}

  void reset(int store);
  void ensureGroup(int group);

  // The primary's store, or -1.
  int primary(int group) const { return groups_[group].primary; }
  // When the group's primary was named last.
  TimePoint primarySince(int group) const { return groups_[group].since; }
  // True where no more than reports name the primary; it may get writes, which a replica turns
  // away untouched, but no read that must be current (test: untrueReport).
  bool restsOnReport(int group) const;
  // When the store was last seen as a replica.
  TimePoint lastSeenAsReplica(int store) const { return replicaAt_[store]; }

  // The endpoint list names the store as primary; `isPrimaryUsable` is the present primary's state.
  void onListedAsPrimary(int group, int store, bool isPrimaryUsable, TimePoint now);
  void onObserved(int group, int store, const RoleObservation& observation, TimePoint now);
  // The store has started anew and may have lost its role.
  void onRestarted(int group, int store, TimePoint now);
  void onRemoved(int store);

  // The search for a primary: members are tried in turn.
  TimePoint lastSearch(int group) const { return groups_[group].lastSearch; }
  int nextCandidate(int group) const { return groups_[group].nextCandidate; }
  void onSearched(int group, int nextCandidate, TimePoint now);

 private:
  struct Group {
    int primary = -1;
    RoleEvidence evidence = RoleEvidence::listed;
    bool hasMoved = false;  // a store has contradicted the list's role
    TimePoint since = kNever;
    int nextCandidate = 0;
    TimePoint lastSearch = kNever;
  };

  void name(int group, int store, RoleEvidence evidence, TimePoint now);
  void onSeenAsPrimary(int group, int store, const RoleObservation& observation, TimePoint now);
  void onSeenAsReplica(int group, int store, TimePoint at, TimePoint now);
  void doubt(int group, int store, TimePoint now);
  static void dropPrimary(Group& group);

  const EngineSettings& settings_;
  std::vector<Group> groups_;
  std::vector<Role> role_;
  std::vector<TimePoint> primaryAt_;
  std::vector<TimePoint> replicaAt_;
  std::vector<TimePoint> doubtedAt_;  // a response to what was sent up to then confirms no primary
};

}  // namespace reedchute

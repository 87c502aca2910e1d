// Tracks which store of each group is the primary, and by which evidence.
//
// Owns the role in which each store was last seen and the state of the search for a primary. The
// primary is the store that was last seen in that role. A read that needs current data may rely on
// the role only if the store itself has confirmed it, or if the endpoint list is the only evidence.
#pragma once

#include <vector>

#include "base/time.h"
#include "decision/types.h"

namespace reedchute {

enum class RoleSource { response, report };

// A store was seen in a role at a time. A response may be read long after it was written, or
// overtake the response to a later request. So `at` is the time of the send for a response as
// primary, and the time of the read for a response as replica. For a report it is the report's
// position.
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
  // When the group's last known primary was determined.
  TimePoint primarySince(int group) const { return groups_[group].since; }
  // True if the only evidence for the primary is a report, which may be untrue. Such a primary may
  // receive writes, which a replica rejects without executing them, but no read that needs current
  // data (test: untrueReport).
  bool isPrimaryOnlyReported(int group) const;
  // When the store was last seen as a replica.
  TimePoint lastSeenAsReplica(int store) const { return seenAsReplicaAt_[store]; }

  // The endpoint list contains the store as primary. `isPrimaryUsable` tells whether statements may
  // be sent to the present primary.
  void onListedAsPrimary(int group, int store, bool isPrimaryUsable, TimePoint now);
  void onObserved(int group, int store, const RoleObservation& observation, TimePoint now);
  // The store's process has restarted and may have lost its role.
  void onRestarted(int group, int store, TimePoint now);
  void onRemoved(int store);

  // The search for a primary tries the members of a group in turn; `nextCandidate` is an index.
  TimePoint lastSearch(int group) const { return groups_[group].lastSearch; }
  int nextCandidate(int group) const { return groups_[group].nextCandidate; }
  void onSearched(int group, int nextCandidate, TimePoint now);

 private:
  struct Group {
    int primary = -1;
    RoleEvidence evidence = RoleEvidence::listed;
    bool hasMoved = false;  // a response or report has changed the primary
    TimePoint since = kNever;
    int nextCandidate = 0;
    TimePoint lastSearch = kNever;
  };

  void setPrimary(int group, int store, RoleEvidence evidence, TimePoint now);
  void onSeenAsPrimary(int group, int store, const RoleObservation& observation, TimePoint now);
  void onSeenAsReplica(int group, int store, TimePoint at, TimePoint now);
  void revokeConfirmation(int group, int store, TimePoint now);
  static void dropPrimary(Group& group);

  const EngineSettings& settings_;
  std::vector<Group> groups_;
  std::vector<Role> role_;
  std::vector<TimePoint> seenAsPrimaryAt_;
  std::vector<TimePoint> seenAsReplicaAt_;
  // Responses to attempts sent up to then don't confirm the store as primary.
  std::vector<TimePoint> confirmationRevokedAt_;
};

}  // namespace reedchute

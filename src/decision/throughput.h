// Measures what a warm member of each group completes for this process.
//
// Owns, for each group, the completed work and the time for which members were available, both with
// exponential decay. Work that arrives, is rejected or fails doesn't count: a store completes no
// more than its capacity, however much is demanded of it.
#pragma once

#include <vector>

#include "base/time.h"

namespace reedchute {

// The available members of a group.
struct AvailableMembers {
  double warm = 0;         // their number
  double coldWarmths = 0;  // the sum of the warmths of cold members
};

class Throughput {
 public:
  // `memory` is the time constant of the decay. A member counts as idle for `idleBefore` before it
  // is first seen, so that a process that has just started doesn't take its first few statements
  // for a high rate.
  Throughput(Duration memory, Duration idleBefore) : memory_(memory), idleBefore_(idleBefore) {}

  void ensureGroup(int group);

  // `members` are available from now on. While none is warm, the measurement stands still; a group
  // that never had a warm member is measured by its cold ones.
  void advance(int group, const AvailableMembers& members, TimePoint now);
  // An available member completed a statement; `statements` is its work in statements of mean work.
  void onCompleted(int group, bool isMemberWarm, double statements);

  // Statements of mean work per second that a warm member completes.
  double perMember(int group) const;
  bool hasWarmMember(int group) const { return groups_[group].hasWarmMember; }

 private:
  struct Group {
    double completed = 0;      // statements
    double memberSeconds = 0;  // 0 before a member was available
    double counted = 0;        // members, as of the last call of advance
    bool hasWarmMember = false;
    bool hadWarmMember = false;
    TimePoint advancedAt = kNever;
  };

  const Duration memory_;
  const Duration idleBefore_;
  std::vector<Group> groups_;
};

}  // namespace reedchute

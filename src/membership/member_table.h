// The other members of the fleet as known to this process, by name, and the number of live ones.
// Iteration is in the order of names, so that no decision depends on hashing.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "membership/packet.h"
#include "membership/parameters.h"
#include "membership/replay_window.h"
#include "membership/suspicion.h"

namespace reedchute::membership {

struct Member {
  MemberUpdate latest;  // the last accepted update
  TimePoint stateSince = kNever;
  TimePoint lastReceived = kNever;  // a packet from it, or an ack forwarded for it
  ReplayWindow replayWindow;
  Suspicion suspicion;
  // It has answered a nonce of this process, or another member has reported it.
  bool isVerified = false;

  // Alive or suspect, so that it is probed.
  bool isActive() const;
  // Left or dead.
  bool isGone() const { return !isActive(); }
  bool isCountedLive() const { return isVerified && isActive(); }
};

class MemberTable {
 public:
  explicit MemberTable(std::size_t maxMembers) : maxMembers_(maxMembers) {}

  const std::map<std::string, Member>& all() const { return members_; }
  std::map<std::string, Member>& all() { return members_; }
  const Member* find(const std::string& name) const;
  Member* find(const std::string& name);
  // A random verified member that is alive and not named `except`; null if there is none.
  const Member* randomAlive(Random& random, const std::string& except = "") const;

  // Adds a member and returns it; null if the table is full. The name must not be in the table.
  Member* add(const std::string& name);
  void erase(const std::string& name);
  // Member::latest and Member::isVerified are changed only by these, which keep the counts correct.
  void setLatest(Member& member, const MemberUpdate& update, TimePoint now);
  void setVerified(Member& member);
  // Removes members that have been gone for longer than `after`.
  void removeGone(Duration after, TimePoint now);

  // Live members, this process included.
  std::size_t liveCount() const { return static_cast<std::size_t>(liveOthers_) + 1; }
  bool hasLiveOthers() const { return liveOthers_ > 0; }
  bool hasSuspects() const { return suspects_ > 0; }

 private:
  // Counts are updated with each change of state, which keeps the start of a large fleet linear in
  // its size.
  void addToCounts(const Member& member);
  void removeFromCounts(const Member& member);

  std::size_t maxMembers_;
  std::map<std::string, Member> members_;
  int liveOthers_ = 0;
  int suspects_ = 0;
};

}  // namespace reedchute::membership

// The other members of the fleet as this process knows them, by name, and how many of them live.
// Iteration is in the order of names, so nothing that is decided depends on hashing.
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
  MemberUpdate latest;  // the last update of it that was accepted
  TimePoint stateSince = kNever;
  TimePoint lastHeard = kNever;  // a packet of its own, or an ack that was passed on for it
  ReplayWindow replayWindow;
  Suspicion suspicion;
  // It has answered a nonce of ours, or another member told of it.
  bool isVerified = false;

  // Alive or suspect: it is probed.
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
  // A member that is alive and not in `except`, at random; none where there is none.
  const Member* randomAlive(Random& random, const std::string& except = "") const;

  // Null where the table is full. The name must not be in it.
  Member* add(const std::string& name);
  void erase(const std::string& name);
  // The only ways to change what is counted.
  void setLatest(Member& member, const MemberUpdate& update, TimePoint now);
  void setVerified(Member& member);
  // Drops those that have been gone for longer than that.
  void forgetGone(Duration after, TimePoint now);

  // Live members, this process included.
  std::size_t liveCount() const { return static_cast<std::size_t>(liveOthers_) + 1; }
  bool hasLiveOthers() const { return liveOthers_ > 0; }
  bool hasSuspects() const { return suspects_ > 0; }

 private:
  // Counting as states change keeps the start of a large fleet linear in its size.
  void countIn(const Member& member);
  void countOut(const Member& member);

  std::size_t maxMembers_;
  std::map<std::string, Member> members_;
  int liveOthers_ = 0;
  int suspects_ = 0;
};

}  // namespace reedchute::membership

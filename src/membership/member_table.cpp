#include "membership/member_table.h"

#include <vector>

namespace reedchute::membership {

const char* nameOf(MemberState state) {
  switch (state) {
    case MemberState::alive:
      return "alive";
    case MemberState::suspect:
      return "suspect";
    case MemberState::left:
      return "left";
    default:
      return "dead";
  }
}

bool Member::isActive() const {
  return latest.state == MemberState::alive || latest.state == MemberState::suspect;
}

const Member* MemberTable::find(const std::string& name) const {
  auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

Member* MemberTable::find(const std::string& name) {
  auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

const Member* MemberTable::randomAlive(Random& random, const std::string& except) const {
  std::vector<const Member*> candidates;
  for (const auto& [name, member] : members_)
    if (member.isVerified && member.latest.state == MemberState::alive && name != except)
      candidates.push_back(&member);
  return candidates.empty() ? nullptr : candidates[random() % candidates.size()];
}

Member* MemberTable::add(const std::string& name) {
  if (members_.size() >= maxMembers_) return nullptr;
  return &members_.try_emplace(name).first->second;
}

void MemberTable::erase(const std::string& name) {
  auto it = members_.find(name);
  if (it == members_.end()) return;
  removeFromCounts(it->second);
  members_.erase(it);
}

void MemberTable::setLatest(Member& member, const MemberUpdate& update, TimePoint now) {
  removeFromCounts(member);
  member.latest = update;
  member.stateSince = now;
  addToCounts(member);
}

void MemberTable::setVerified(Member& member) {
  removeFromCounts(member);
  member.isVerified = true;
  addToCounts(member);
}

void MemberTable::removeGone(Duration after, TimePoint now) {
  std::erase_if(members_, [&](const auto& entry) {
    const Member& member = entry.second;
    return member.isGone() && now - member.stateSince > after;
  });
}

void MemberTable::addToCounts(const Member& member) {
  if (member.isCountedLive()) ++liveOthers_;
  if (member.latest.state == MemberState::suspect) ++suspects_;
}

void MemberTable::removeFromCounts(const Member& member) {
  if (member.isCountedLive()) --liveOthers_;
  if (member.latest.state == MemberState::suspect) --suspects_;
}

}  // namespace reedchute::membership

#include "decision/throughput.h"

#include <cmath>

#include "decision/indexed_array.h"

namespace reedchute {

void Throughput::ensureGroup(int group) {
  ensureIndex(groups_, group);
}

void Throughput::advance(int group, const AvailableMembers& members, TimePoint now) {
  Group& state = groups_[group];
  if (state.memberSeconds > 0 && state.counted > 0) {
    double decay = std::exp(-((now - state.advancedAt) / memory_));
    state.completed *= decay;
    state.memberSeconds = state.memberSeconds * decay +
                          state.counted * memory_.seconds() * (1 - decay);
  }
  state.hasWarmMember = members.warm > 0;
  state.hadWarmMember |= state.hasWarmMember;
  state.counted = state.hadWarmMember ? members.warm : members.coldWarmths;
  if (state.memberSeconds <= 0) state.memberSeconds = state.counted * idleBefore_.seconds();
  state.advancedAt = now;
}

void Throughput::onCompleted(int group, bool isMemberWarm, double statements) {
  Group& state = groups_[group];
  if (isMemberWarm || !state.hadWarmMember) state.completed += statements;
}

double Throughput::perMember(int group) const {
  const Group& state = groups_[group];
  return state.memberSeconds > 0 ? state.completed / state.memberSeconds : 0;
}

}  // namespace reedchute

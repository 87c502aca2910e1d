#include "membership/gossip_state_table.h"

#include <iterator>

namespace reedchute::membership {
namespace {

constexpr int kMaxTopics = 16;

GossipState toState(const std::string& origin, int topic, const GossipStateTable::Entry& entry,
                    TimePoint now) {
  return {.origin = origin,
          .incarnation = entry.incarnation,
          .version = entry.version,
          .topic = topic,
          .age = now - entry.publishedAt,
          .payload = entry.payload};
}

}  // namespace

void GossipStateTable::publish(int topic, std::string payload, TimePoint now) {
  Entry& own = own_[topic];
  own.incarnation = incarnation_;
  ++own.version;
  own.publishedAt = now;
  own.payload = std::move(payload);
}

void GossipStateTable::dropExpired(ByOrigin& states, TimePoint now) const {
  std::erase_if(states,
                [&](const auto& item) { return now - item.second.publishedAt > limits_.maxAge; });
}

void GossipStateTable::appendOwn(std::vector<GossipState>& states, TimePoint now) const {
  for (const auto& [topic, own] : own_) {
    if (now - own.publishedAt > limits_.maxAge) continue;
    states.push_back(toState(origin_, topic, own, now));
    // The state may have been published before this process raised its incarnation.
    states.back().incarnation = incarnation_;
  }
}

void GossipStateTable::appendTo(std::vector<GossipState>& states, TimePoint now) {
  appendOwn(states, now);
  struct Candidate {
    int topic;
    const ByOrigin::value_type* item;
  };
  std::vector<Candidate> candidates;
  for (auto& [topic, others] : others_) {
    dropExpired(others, now);
    for (const auto& item : others) candidates.push_back({topic, &item});
  }
  for (std::size_t count = 0; count < limits_.othersPerPacket && !candidates.empty(); ++count) {
    Candidate& chosen = candidates[random_() % candidates.size()];
    const auto& [origin, entry] = *chosen.item;
    states.push_back(toState(origin, chosen.topic, entry, now));
    chosen = candidates.back();
    candidates.pop_back();
  }
}

bool GossipStateTable::isWellFormed(const GossipState& state) const {
  return state.payload.size() <= limits_.maxPayloadBytes && state.age >= Duration{} &&
         state.topic >= 0 && state.topic < kMaxTopics;
}

// Evicts the state of a random origin if there are too many. Evicting the oldest state would always
// remove members that are the most hops away.
void GossipStateTable::evictIfFull(ByOrigin& states, TimePoint now) {
  if (states.size() < limits_.originsPerTopic) return;
  dropExpired(states, now);
  if (states.size() < limits_.originsPerTopic) return;
  auto chosen = static_cast<std::ptrdiff_t>(random_() % states.size());
  states.erase(std::next(states.begin(), chosen));
}

bool GossipStateTable::merge(const GossipState& state, Duration transit, TimePoint now) {
  if (!isWellFormed(state)) {
    ++dropped_;
    return false;
  }
  if (state.origin == origin_ || state.origin.empty()) return false;
  // The age accumulates from hop to hop; otherwise a state would circulate forever.
  TimePoint publishedAt = now - state.age - transit;
  if (now - publishedAt > limits_.maxAge) return false;
  Entry entry{state.incarnation, state.version, publishedAt, state.payload};
  ByOrigin& states = others_[state.topic];
  auto known = states.find(state.origin);
  if (known == states.end()) {
    evictIfFull(states, now);
    states.emplace(state.origin, std::move(entry));
    return true;
  }
  Entry& existing = known->second;
  bool isNewer = entry.incarnation != existing.incarnation
                     ? entry.incarnation > existing.incarnation
                     : entry.version > existing.version;
  if (!isNewer) return false;
  existing = std::move(entry);
  return true;
}

const GossipStateTable::ByOrigin& GossipStateTable::statesOf(int topic, TimePoint now) {
  ByOrigin& states = others_[topic];
  dropExpired(states, now);
  return states;
}

}  // namespace reedchute::membership

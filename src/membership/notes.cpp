#include "membership/notes.h"

#include <algorithm>

namespace reedchute::membership {
namespace {

constexpr int kTopics = 16;

}  // namespace

void Notes::say(int topic, std::string bytes, TimePoint now) {
  Held& own = own_[topic];
  own.generation = generation_, ++own.number, own.written = now, own.bytes = std::move(bytes);
}

void Notes::fade(std::map<std::string, Held>& held, TimePoint now) const {
  std::erase_if(held, [&](const auto& e) { return now - e.second.written > bounds_.maxAge; });
}

void Notes::fill(std::vector<Note>& into, TimePoint now) {
  for (const auto& [topic, own] : own_)
    if (now - own.written <= bounds_.maxAge)
      into.push_back({origin_, generation_, own.number, topic, now - own.written, own.bytes});
  std::vector<std::pair<int, const std::pair<const std::string, Held>*>> others;
  for (auto& [topic, held] : held_) {
    fade(held, now);
    for (const auto& e : held) others.emplace_back(topic, &e);
  }
  for (std::size_t k = 0; k < bounds_.sent && !others.empty(); ++k) {
    std::size_t at = chance_() % others.size();
    const auto& [name, h] = *others[at].second;
    into.push_back({name, h.generation, h.number, others[at].first, now - h.written, h.bytes});
    others[at] = others.back();
    others.pop_back();
  }
}

bool Notes::hear(const Note& n, Duration passage, TimePoint now) {
  if (n.bytes.size() > bounds_.bytes || n.age < Duration{} || n.topic < 0 || n.topic >= kTopics)
    return ++dropped_, false;
  if (n.origin == origin_ || n.origin.empty()) return false;
  // Danger: a note that is passed on and on must age on its way, or it would be news for ever.
  TimePoint written = now - n.age - passage;
  if (now - written > bounds_.maxAge) return false;
  auto& held = held_[n.topic];
  auto it = held.find(n.origin);
  if (it != held.end()) {
    Held& h = it->second;
    if (n.generation < h.generation || (n.generation == h.generation && n.number <= h.number))
      return false;
    h = {n.generation, n.number, written, n.bytes};
    return true;
  }
  if (held.size() >= bounds_.kept) {
    fade(held, now);
    // Of too many, one drawn by chance gives way: the oldest would always be those who stand far
    // off.
    if (held.size() >= bounds_.kept)
      held.erase(std::next(held.begin(), static_cast<std::ptrdiff_t>(chance_() % held.size())));
  }
  held.emplace(n.origin, Held{n.generation, n.number, written, n.bytes});
  return true;
}

const std::map<std::string, Notes::Held>& Notes::on(int topic, TimePoint now) {
  auto& held = held_[topic];
  fade(held, now);
  return held;
}

}  // namespace reedchute::membership

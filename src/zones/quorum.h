// What a front's zones take part in: its own counts, those of others as gossiped notes, and the
// decision. Without I/O and clock; the front and the tests run the same.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "membership/gossip.h"
#include "zones/zones.h"

namespace reedchute::zones {

inline constexpr int kSightTopic = 0;

class Quorum {
 public:
  Quorum(Leaving rules, std::string name, std::string ownZone, membership::Gossip& gossip);

  // Facts. An empty zone: the list names the store no more.
  void store(int store, const std::string& zone, int group) { watch_.store(store, zone, group); }
  void saw(int store, Watch::Seen seen, TimePoint now) { watch_.saw(store, seen, now); }
  void took() { ++taken_; }                 // a statement
  void room(double part) { room_ = part; }  // of what the front might send that it doesn't

  // Does what is due: tells what was seen, hears what others saw, decides. Cheap when nothing is.
  void round(TimePoint now);
  TimePoint dueAt() const { return dueAt_; }

  Zones& zones() { return zones_; }
  const Zones& zones() const { return zones_; }
  const Sight& own() const { return own_; }
  // Fronts whose sights count now, and the statements a second that they told, this one's included.
  std::size_t heard() const { return told_.size(); }
  double heardRate() const;
  std::uint64_t unreadable() const { return unreadable_; }

 private:
  struct Known {
    std::uint64_t generation = 0;
    std::uint32_t number = 0;
    Told told;
  };

  Leaving rules_;
  std::string ownZone_;
  membership::Gossip& gossip_;
  Watch watch_;
  Zones zones_;
  Sight own_;
  std::map<std::string, Known> told_;
  std::map<std::string, int> stores_;
  std::uint64_t taken_ = 0, counted_ = 0, unreadable_ = 0;
  double room_ = 1;
  TimePoint dueAt_ = kNever, saidAt_ = kNever, ratedAt_ = kNever;
};

}  // namespace reedchute::zones

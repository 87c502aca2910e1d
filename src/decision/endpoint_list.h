// The endpoint list: which stores exist, and when discovery is polled for them.
//
// Owns the group, zone, status and static weight of each store, the members of each group, the
// traffic share of each zone, and the backoff between polls.
#pragma once

#include <vector>

#include "base/time.h"
#include "decision/random.h"
#include "decision/types.h"

namespace reedchute {

class EndpointList {
 public:
  EndpointList(const EngineSettings& settings, TimePoint now);

  int size() const { return static_cast<int>(group_.size()); }
  void reset(int store);
  void ensureGroup(int group);
  void ensureZone(int zone);

  int groupCount() const { return static_cast<int>(members_.size()); }
  const std::vector<int>& members(int group) const { return members_[group]; }
  int groupSize(int group) const { return static_cast<int>(members_[group].size()); }
  // The group or zone of a store, or -1.
  int group(int store) const { return group_[store]; }
  int zone(int store) const { return zone_[store]; }
  double weight(int store) const { return weight_[store]; }
  bool isUp(int store) const { return status_[store] == EndpointStatus::up; }

  // A snapshot is applied by beginSnapshot(), one addEndpoint() for each endpoint, endSnapshot().
  // Endpoints missing from a whole snapshot are marked as gone if `removalMeansDrained` is set.
  void beginSnapshot(bool whole);
  void addEndpoint(const EndpointInfo& endpoint);
  void endSnapshot();
  void remove(int store);

  // Sets the fraction of its usual traffic that the zone gets, and returns the previous one.
  double setZoneShare(int zone, double share, bool mayProbe);
  // The traffic share of the store's zone, or 1 if its zone is unknown.
  double zoneShare(int store) const;
  bool mayProbe(int store) const;

  // Returns whether a poll is due now. If so, no other is due until onPollFailed() schedules one.
  bool beginPollIfDue(TimePoint now);
  void onPolled() { pollBackoff_ = firstPollBackoff_; }
  void onPollFailed(RandomSource& random, TimePoint now);

 private:
  struct Zone {
    double share = 1;
    bool mayProbe = true;
  };

  const EngineSettings& settings_;
  std::vector<std::vector<int>> members_;  // stores of each group
  std::vector<Zone> zones_;
  std::vector<int> group_;
  std::vector<int> zone_;
  std::vector<EndpointStatus> status_;
  std::vector<double> weight_;
  std::vector<char> isInSnapshot_;
  TimePoint pollAt_ = kNever;
  Duration firstPollBackoff_;
  Duration maxPollBackoff_;
  Duration pollBackoff_;
};

}  // namespace reedchute

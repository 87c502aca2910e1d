#include "decision/endpoint_list.h"

#include <algorithm>
#include <utility>

#include "decision/indexed_array.h"

namespace reedchute {
namespace {

constexpr double kFirstBackoff = 0.1;    // fraction of maxPollInterval
constexpr double kMaxBackoff = 0.5;      // fraction of maxPollInterval
constexpr double kAssumedBackoff = 0.1;  // fraction of endpointsAssumedKnownAfter, at most

}  // namespace

// A change counts as known after endpointsAssumedKnownAfter even while polls keep failing, so the
// backoff is also limited to a fraction of that time.
EndpointList::EndpointList(const EngineSettings& settings, TimePoint now) : settings_(settings) {
  Duration assumedAfter = settings.endpointsAssumedKnownAfter;
  Duration longest = assumedAfter > Duration{} ? assumedAfter * kAssumedBackoff : kForever - kNever;
  maxPollBackoff_ = std::min(settings.maxPollInterval * kMaxBackoff, longest);
  firstPollBackoff_ = std::min(settings.maxPollInterval * kFirstBackoff, longest);
  pollBackoff_ = firstPollBackoff_;
  if (settings.pollsEndpoints) pollAt_ = now;
}

void EndpointList::reset(int store) {
  assignAt(group_, store, -1);
  assignAt(zone_, store, -1);
  assignAt(status_, store, EndpointStatus::up);
  assignAt(weight_, store, 1.0);
  assignAt(isInSnapshot_, store, char{0});
}

void EndpointList::ensureGroup(int group) {
  ensureIndex(members_, group);
}

void EndpointList::ensureZone(int zone) {
  ensureIndex(zones_, zone);
}

void EndpointList::beginSnapshot(bool whole) {
  if (whole) std::fill(isInSnapshot_.begin(), isInSnapshot_.end(), 0);
}

void EndpointList::addEndpoint(const EndpointInfo& endpoint) {
  int store = endpoint.store;
  if (group_[store] != endpoint.group) {
    if (group_[store] >= 0) std::erase(members_[group_[store]], store);
    members_[endpoint.group].push_back(store);
    group_[store] = endpoint.group;
  }
  zone_[store] = endpoint.zone;
  weight_[store] = endpoint.weight > 0 ? endpoint.weight : 1;
  isInSnapshot_[store] = 1;
  // Without `removalMeansDrained` the endpoint list doesn't prove which stores are up, so `gone` is
  // ignored here and outlier detection decides.
  if (endpoint.listed != EndpointStatus::gone || settings_.removalMeansDrained)
    status_[store] = endpoint.listed;
}

void EndpointList::endSnapshot() {
  if (!settings_.removalMeansDrained) return;
  for (std::size_t store = 0; store < isInSnapshot_.size(); ++store)
    if (!isInSnapshot_[store]) status_[store] = EndpointStatus::gone;
}

void EndpointList::remove(int store) {
  for (std::vector<int>& members : members_) std::erase(members, store);
}

double EndpointList::setZoneShare(int zone, double share, bool mayProbe) {
  zones_[zone].mayProbe = mayProbe;
  return std::exchange(zones_[zone].share, share);
}

double EndpointList::zoneShare(int store) const {
  return zone_[store] < 0 ? 1 : zones_[zone_[store]].share;
}

bool EndpointList::mayProbe(int store) const {
  return zone_[store] < 0 || zones_[zone_[store]].mayProbe;
}

bool EndpointList::beginPollIfDue(TimePoint now) {
  if (!settings_.pollsEndpoints || pollAt_ == kNever || pollAt_ > now) return false;
  pollAt_ = kNever;
  return true;
}

// The backoff is randomized: discovery is a small service that couldn't answer if all proxies
// polled again at the same time.
void EndpointList::onPollFailed(RandomSource& random, TimePoint now) {
  pollAt_ = now + pollBackoff_ * (0.5 + drawUnit(random));
  pollBackoff_ = std::min(pollBackoff_ * 2, maxPollBackoff_);
}

}  // namespace reedchute

#include "proxy/endpoint_registry.h"

#include "log/log.h"

namespace reedchute::proxy {
namespace {

constexpr double kRemovalCheckInterval = 0.5;  // keepalives
constexpr double kAbsentRetention = 2.0;       // keepalives

const char* nameOf(EndpointStatus status) {
  switch (status) {
    case EndpointStatus::up:
      return "up";
    case EndpointStatus::draining:
      return "draining";
    default:
      return "gone";
  }
}

}  // namespace

void EndpointRegistry::apply(const discovery::EndpointList& list, bool polled) {
  TimePoint now = scheduler_.now();
  engine_.beginSnapshot(list.isFull);
  // Stores missing from a full list are absent. All are marked here, and applyEntry() unmarks those
  // that the list contains.
  if (list.isFull) ids_.stores.forEach([&](int store) { absentSince_.try_emplace(store, now); });
  for (const discovery::Endpoint& endpoint : list.endpoints) applyEntry(endpoint, now);
  engine_.endSnapshot(polled);
  drainUnavailableStores(list, now);
  rounds_.request();
}

void EndpointRegistry::applyEntry(const discovery::Endpoint& endpoint, TimePoint now) {
  EndpointInfo info;
  info.store = ids_.stores.add(endpoint.id);
  if (endpoint.status == EndpointStatus::gone)
    absentSince_.try_emplace(info.store, now);
  else
    absentSince_.erase(info.store);
  info.group = ids_.groups.add(endpoint.group);
  info.zone = indexOf(config_.names.zones, endpoint.zone);
  info.listed = endpoint.status;
  info.primary = endpoint.isPrimary;
  info.weight = endpoint.weight;
  if (endpoint.startedMs > 0)
    info.started = recordListedStart(info.store, WallTime{endpoint.startedMs * 1000});
  setPoolAddresses(info.store, endpoint);
  engine_.addEndpoint(info, now);
  guard_.onEndpointListed(info.store, info.group, info.zone, info.listed, now);
  logEndpoint(info, endpoint);
}

// An entry with a start that is new to this process is written despite the log's limit: which
// process knew of it, and when, can't be told from elsewhere.
void EndpointRegistry::logEndpoint(const EndpointInfo& info, const discovery::Endpoint& endpoint) {
  auto write = info.started ? log::unlimitedLine : log::line;
  write("endpoint", "store=%d id=%s group=%lld state=%s primary=%d started_ms=%lld", info.store,
        endpoint.id.c_str(), static_cast<long long>(endpoint.group), nameOf(endpoint.status),
        endpoint.isPrimary, static_cast<long long>(endpoint.startedMs));
}

void EndpointRegistry::setPoolAddresses(int store, const discovery::Endpoint& endpoint) {
  for (const auto& protocol : protocols_) {
    std::optional<sockaddr_in> address = protocol->upstreamAddress(endpoint);
    if (!address) continue;
    for (request::ProtocolVersion version : protocol->versions())
      pools_.setAddress(store, version, *address);
  }
}

void EndpointRegistry::drainUnavailableStores(const discovery::EndpointList& list, TimePoint now) {
  for (const discovery::Endpoint& endpoint : list.endpoints)
    if (endpoint.status != EndpointStatus::up) pools_.drainStore(ids_.stores.find(endpoint.id));
  if (!config_.engineSettings.removalMeansDrained) return;
  for (const auto& [store, since] : absentSince_) {
    guard_.onEndpointDropped(store, now);
    pools_.drainStore(store);
    pools_.closeIdleConnections(store);
  }
}

// Returns the start time if it is later than the last one listed for the store. The listed
// wall-clock times are compared, not the converted ones: after the wall clock is set, the same
// start would convert to a different monotonic time and look like another restart.
std::optional<TimePoint> EndpointRegistry::recordListedStart(int store, WallTime listed) {
  WallTime& last = lastListedStarts_[store];
  if (listed <= last) return std::nullopt;
  last = listed;
  return scheduler_.wallClock().toSteady(listed);
}

// The endpoint list may drop a running store by mistake, so the state of an absent store is kept
// for a while. It isn't kept forever, because it would accumulate where stores are replaced all the
// time.
runtime::Task<> EndpointRegistry::removeExpired() {
  for (;;) {
    co_await runtime::sleepUntil(scheduler_,
                                 scheduler_.now() + config_.keepalive * kRemovalCheckInterval);
    if (!config_.engineSettings.removalMeansDrained) continue;
    std::erase_if(absentSince_, [&](const auto& entry) {
      if (!mayRemove(entry.first, entry.second)) return false;
      remove(entry.first);
      return true;
    });
  }
}

bool EndpointRegistry::mayRemove(int store, TimePoint absentSince) const {
  if (scheduler_.now() - absentSince < config_.keepalive * kAbsentRetention) return false;
  return pools_.isUnused(store) && !statements_.refersToStore(store);
}

void EndpointRegistry::remove(int store) {
  log::line("endpoint_removed", "store=%d id=%s", store, ids_.stores.id(store).c_str());
  engine_.removeEndpoint(store, scheduler_.now());
  guard_.forget(store);
  pools_.removeStore(store);
  ids_.stores.release(store);
  lastListedStarts_.erase(store);
}

}  // namespace reedchute::proxy

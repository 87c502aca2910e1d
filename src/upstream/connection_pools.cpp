#include "upstream/connection_pools.h"

#include <algorithm>
#include <exception>
#include <list>
#include <utility>

#include "log/log.h"

namespace reedchute::upstream {
namespace {

constexpr double kSettleTime = 0.01;         // connect time-outs of idleness before reuse is safe
constexpr std::size_t kProbeShare = 2;       // probes may make one connection in so many
constexpr double kStatementMaxWait = 0.4;    // connect time-outs, for a descriptor
constexpr double kProbeMaxWait = 1.0;        // connect time-outs, for a descriptor
constexpr double kQueueCheckInterval = 0.1;  // connect time-outs
constexpr int kMaxRequeues = 3;              // connections that a request may find closed

}  // namespace

ConnectionPools::ConnectionPools(runtime::Scheduler& scheduler, request::AttemptOwner& owner,
                                 Limits limits)
    : scheduler_(scheduler), owner_(owner), limits_(limits) {}

ConnectionPools::~ConnectionPools() = default;

ProtocolVersion ConnectionPools::addProtocol(UpstreamProtocol& protocol) {
  protocols_.push_back(&protocol);
  return static_cast<ProtocolVersion>(protocols_.size()) - 1;
}

void ConnectionPools::setAddress(int store, ProtocolVersion version, const sockaddr_in& address) {
  while (static_cast<std::size_t>(store) >= pools_.size()) pools_.emplace_back(protocols_.size());
  ConnectionPool& pool = poolOf(PoolKey{store, version});
  bool hasMoved = pool.address && !runtime::sameAddress(*pool.address, address);
  pool.address = address;
  if (!hasMoved) return;
  // What still answers at the old address is not this store.
  pool.closeIdle();
  std::vector<UpstreamConnection*> all = connections_;
  for (UpstreamConnection* connection : all)
    if (connection->store == store && connection->version == version) connection->drain();
}

UpstreamRequest* ConnectionPools::submit(std::unique_ptr<UpstreamRequest> submitted) {
  UpstreamRequest* request = submitted.get();
  request->place = requests_.size();
  requests_.push_back(std::move(submitted));
  ConnectionPool& pool = poolOf(*request);
  if (pool.ready.empty()) {
    pool.waiting.push_back(request);
    openOrQueue({request->store, request->version});
    return request;
  }
  TimePoint settledBefore = scheduler_.now() - limits_.connectTimeout * kSettleTime;
  UpstreamConnection* connection = pool.pickReady(settledBefore);
  if (connection->requestCount() + 1 >= maxConcurrentRequests(request->version))
    std::erase(pool.ready, connection);
  request->on = connection;
  connection->accept(request);
  return request;
}

void ConnectionPools::cancel(UpstreamRequest* request) {
  if (request->cancelled) return;
  request->cancelled = true;
  // One that waits for a connection is passed over when its turn comes.
  if (request->on) request->on->cancel(request);
}

void ConnectionPools::drainStore(int store) {
  for (ConnectionPool& pool : pools_[static_cast<std::size_t>(store)]) {
    // A connection may come up as late as the grace ends, so nothing is left to wait for it.
    std::list<UpstreamRequest*> unsent = std::exchange(pool.waiting, {});
    for (UpstreamRequest* request : unsent) complete(request, AttemptOutcome::neverSent);
  }
  std::vector<UpstreamConnection*> all = connections_;
  for (UpstreamConnection* connection : all)
    if (connection->store == store) connection->drain();
}

void ConnectionPools::cancelUnsent(const std::function<bool(const UpstreamRequest&)>& which) {
  for (const std::unique_ptr<UpstreamRequest>& request : requests_)
    if (request->leftAt == kNever && which(*request)) request->sendBy = kNever;
  std::vector<UpstreamRequest*> unsent;
  auto collect = [&](UpstreamRequest* request) {
    if (request->sendBy != kNever) return false;
    unsent.push_back(request);
    return true;
  };
  for (std::vector<ConnectionPool>& poolsOfStore : pools_)
    for (ConnectionPool& pool : poolsOfStore) std::erase_if(pool.waiting, collect);
  for (UpstreamRequest* request : unsent) complete(request, AttemptOutcome::neverSent);
}

bool ConnectionPools::isUnused(int store) const {
  auto isToStore = [&](const auto& one) { return one->store == store; };
  return std::none_of(connections_.begin(), connections_.end(), isToStore) &&
         std::none_of(requests_.begin(), requests_.end(), isToStore);
}

void ConnectionPools::removeStore(int store) {
  for (ConnectionPool& pool : pools_[static_cast<std::size_t>(store)]) pool = {};
  for (UpstreamProtocol* protocol : protocols_) protocol->removeStore(store);
}

void ConnectionPools::closeIdleConnections(int store) {
  if (static_cast<std::size_t>(store) >= pools_.size()) return;
  for (ConnectionPool& pool : pools_[static_cast<std::size_t>(store)]) pool.closeIdle();
}

bool ConnectionPools::closeLongestIdle() {
  auto isIdle = [&](UpstreamConnection* connection) {
    const std::vector<UpstreamConnection*>& ready = poolOf(*connection).ready;
    return connection->requestCount() == 0 &&
           std::find(ready.begin(), ready.end(), connection) != ready.end();
  };
  UpstreamConnection* longest = nullptr;
  for (UpstreamConnection* connection : connections_) {
    bool isLonger = !longest || connection->idleSince < longest->idleSince;
    if (isLonger && isIdle(connection)) longest = connection;
  }
  if (!longest) return false;
  markBusy(*longest);
  longest->close();
  return true;
}

std::size_t ConnectionPools::bufferedBytes() const {
  std::size_t bytes = 0;
  for (const UpstreamConnection* connection : connections_) bytes += connection->bufferedBytes();
  return bytes;
}

// A store for which this process has no descriptor left must not count as unreachable, so its pool
// waits for one.
void ConnectionPools::openOrQueue(PoolKey key) {
  ConnectionPool& pool = poolOf(key);
  if (!pool.needsConnection(maxConcurrentRequests(key.version)) || tryOpen(key)) return;
  queue_.push(key, pool);
  if (isWatchingQueue_) return;
  isWatchingQueue_ = true;
  scheduler_.spawn(watchQueue());
}

// The process has only so many descriptors, and stores may be more: the longest idle connection
// makes room. Probes of all stores at once would leave no descriptor to statements.
bool ConnectionPools::hasDescriptor(PoolDemand demand) {
  if (demand == PoolDemand::probes) {
    auto probing = std::count_if(
        connections_.begin(), connections_.end(),
        [](const UpstreamConnection* connection) { return connection->isForProbe; });
    std::size_t maxProbing = std::max<std::size_t>(1, limits_.maxConnections / kProbeShare);
    if (static_cast<std::size_t>(probing) >= maxProbing) return false;
  }
  return connections_.size() < limits_.maxConnections || closeLongestIdle();
}

bool ConnectionPools::tryOpen(PoolKey key) {
  ConnectionPool& pool = poolOf(key);
  PoolDemand demand = pool.demand();
  if (!hasDescriptor(demand)) return false;
  bool lacksDescriptor = false;
  int fd = pool.address ? runtime::startConnect(*pool.address, &lacksDescriptor) : -1;
  if (lacksDescriptor) return false;
  UpstreamProtocol& protocol = *protocols_[static_cast<std::size_t>(key.version)];
  std::unique_ptr<UpstreamConnection> connection = protocol.createConnection(*this, key.store,
                                                                             key.version, fd);
  connection->isForProbe = demand == PoolDemand::probes;
  connections_.push_back(connection.get());
  ++pool.connecting;
  ++opened_;
  scheduler_.spawn(run(std::move(connection)));
  return true;
}

void ConnectionPools::onDescriptorFreed() {
  for (PoolDemand demand : kPoolDemands)
    while (!queue_.line(demand).empty()) {
      PoolKey key = queue_.line(demand).front();
      ConnectionPool& pool = poolOf(key);
      bool stillNeedsIt = pool.needsConnection(maxConcurrentRequests(key.version)) &&
                          pool.demand() == demand;
      if (stillNeedsIt && !tryOpen(key)) break;
      queue_.pop(demand, pool);
      openOrQueue(key);  // where it wants more than one, it goes to the end
    }
}

// Requests of a pool that have waited too long for a descriptor.
void ConnectionPools::collectUnplaced(PoolKey key, std::vector<UpstreamRequest*>& unplaced) {
  ConnectionPool& pool = poolOf(key);
  TimePoint now = scheduler_.now();
  // The first ones have their connections on the way.
  std::size_t covered = static_cast<std::size_t>(pool.connecting) *
                        maxConcurrentRequests(key.version);
  std::size_t position = 0;
  for (UpstreamRequest* request : pool.waiting) {
    bool isCovered = position < covered;
    ++position;
    if (isCovered || request->unplaced) continue;
    double maxWait = request->statement >= 0 ? kStatementMaxWait : kProbeMaxWait;
    bool waitedTooLong = now - request->begun >= limits_.connectTimeout * maxWait;
    if (!waitedTooLong && isStillWanted(*request)) continue;
    request->unplaced = true;
    unplaced.push_back(request);
  }
}

// Left waiting, such a request would wait until its client's time is up, while other stores could
// be had.
void ConnectionPools::failUnplaced() {
  std::vector<UpstreamRequest*> unplaced;
  for (PoolDemand demand : kPoolDemands)
    for (PoolKey key : queue_.line(demand)) collectUnplaced(key, unplaced);
  for (UpstreamRequest* request : unplaced) {
    log::line("stores_crowded", "connections=%zu store=%d", connections_.size(), request->store);
    poolOf(*request).waiting.remove(request);
    complete(request, AttemptOutcome::neverSent);
  }
}

runtime::Task<> ConnectionPools::watchQueue() {
  while (!queue_.isEmpty()) {
    co_await runtime::sleepUntil(scheduler_,
                                 scheduler_.now() + limits_.connectTimeout * kQueueCheckInterval);
    failUnplaced();
    onDescriptorFreed();
  }
  isWatchingQueue_ = false;
}

bool ConnectionPools::isStillWanted(const UpstreamRequest& request) const {
  // A process that has used up its share of a core stands still in the middle of a round; a bounded
  // read judged by the round's beginning would be sent stale.
  TimePoint now = scheduler_.steadyNow();
  return !request.cancelled && request.until > now && request.sendBy > now &&
         owner_.wanted(request);
}

bool ConnectionPools::maySend(UpstreamRequest& request) {
  TimePoint now = scheduler_.steadyNow();
  if (!owner_.mayLeave(request, now)) return false;
  request.leftAt = now;
  return true;
}

UpstreamRequest* ConnectionPools::nextRequest(UpstreamConnection& connection) {
  std::list<UpstreamRequest*>& waiting = poolOf(connection).waiting;
  while (!waiting.empty()) {
    UpstreamRequest* request = waiting.front();
    waiting.pop_front();
    if (isStillWanted(*request)) {
      request->on = &connection;
      return request;
    }
    complete(request, AttemptOutcome::neverSent);
  }
  return nullptr;
}

void ConnectionPools::markReady(UpstreamConnection& connection) {
  std::vector<UpstreamConnection*>& ready = poolOf(connection).ready;
  if (std::find(ready.begin(), ready.end(), &connection) == ready.end())
    ready.push_back(&connection);
  connection.isForProbe = false;
  if (connection.requestCount() == 0) onDescriptorFreed();
}

void ConnectionPools::markBusy(UpstreamConnection& connection) {
  std::erase(poolOf(connection).ready, &connection);
}

void ConnectionPools::requeue(UpstreamRequest* request) {
  request->on = nullptr;
  ++request->returns;
  // A store that closes each connection as soon as it is up would be dialled in a loop (test
  // closesAtOnce).
  if (request->returns > kMaxRequeues) return complete(request, AttemptOutcome::connectFailed);
  poolOf(*request).waiting.push_front(request);
}

// Takes the request out of the table, where the last one moves to its place.
std::unique_ptr<UpstreamRequest> ConnectionPools::release(UpstreamRequest* request) {
  std::size_t place = request->place;
  std::swap(requests_[place], requests_.back());
  requests_[place]->place = place;
  std::unique_ptr<UpstreamRequest> released = std::move(requests_.back());
  requests_.pop_back();
  return released;
}

void ConnectionPools::complete(UpstreamRequest* request, AttemptOutcome outcome) {
  request->outcome = outcome;
  request->on = nullptr;
  std::unique_ptr<UpstreamRequest> released = release(request);
  owner_.ended(*released);
}

runtime::Task<bool> ConnectionPools::tryConnect(UpstreamConnection& connection) {
  try {
    bool isUp = co_await connection.connect(scheduler_.now() + limits_.connectTimeout);
    co_return isUp;
  } catch (const std::exception& e) {
    log::line("task_failed", "what=\"%s\"", e.what());
    co_return false;
  }
}

// An exception that left run() would leave the connection's requests without an end (test
// storeFaults).
runtime::Task<> ConnectionPools::tryServe(UpstreamConnection& connection) {
  try {
    co_await connection.serve();
  } catch (const std::exception& e) {
    log::line("task_failed", "what=\"%s\"", e.what());
  }
}

// Ends the requests that the connection was made for, as it couldn't be had. One that waited too
// long to be sent found the store unreachable all the same.
void ConnectionPools::failWaiting(UpstreamConnection& connection) {
  std::list<UpstreamRequest*>& waiting = poolOf(connection).waiting;
  std::size_t remaining = maxConcurrentRequests(connection.version);
  while (remaining > 0 && !waiting.empty()) {
    UpstreamRequest* request = waiting.front();
    waiting.pop_front();
    bool isWanted = !request->cancelled && owner_.wanted(*request);
    complete(request, isWanted ? AttemptOutcome::connectFailed : AttemptOutcome::neverSent);
    if (isWanted) --remaining;
  }
}

runtime::Task<> ConnectionPools::run(std::unique_ptr<UpstreamConnection> owned) {
  UpstreamConnection& connection = *owned;
  bool isUp = co_await tryConnect(connection);
  --poolOf(connection).connecting;
  if (isUp)
    co_await tryServe(connection);
  else
    failWaiting(connection);
  markBusy(connection);
  co_await connection.end();
  std::erase(connections_, &connection);
  // Requests that counted on this connection need another.
  openOrQueue({connection.store, connection.version});
  onDescriptorFreed();
}

}  // namespace reedchute::upstream

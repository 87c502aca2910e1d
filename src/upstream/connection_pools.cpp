#include "upstream/connection_pools.h"

#include <algorithm>
#include <exception>
#include <list>
#include <utility>

#include "log/log.h"

namespace reedchute::upstream {
namespace {

// Idle time after which a connection can be reused safely, in multiples of the connect timeout.
constexpr double kSettleTime = 0.01;
// Connections being opened for probes may be at most 1/kProbeShareDivisor of `maxConnections`.
constexpr std::size_t kProbeShareDivisor = 2;
// How long requests wait for a descriptor and how often this is checked, in multiples of the
// connect timeout.
constexpr double kStatementMaxWait = 0.4;
constexpr double kProbeMaxWait = 1.0;
constexpr double kQueueCheckInterval = 0.1;
// How often a request is put back because its connection closed before the write. Then it fails.
constexpr int kMaxRequeues = 3;

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
  // A server that still responds at the old address is not this store.
  pool.closeIdle();
  std::vector<UpstreamConnection*> all = connections_;
  for (UpstreamConnection* connection : all)
    if (connection->store == store && connection->version == version) connection->drain();
}

UpstreamRequest* ConnectionPools::submit(std::unique_ptr<UpstreamRequest> submitted) {
  UpstreamRequest* request = submitted.get();
  request->index = requests_.size();
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
  request->connection = connection;
  connection->accept(request);
  return request;
}

void ConnectionPools::cancel(UpstreamRequest* request) {
  if (request->isCancelled) return;
  request->isCancelled = true;
  // A request that is waiting for a connection is skipped by nextRequest().
  if (request->connection) request->connection->cancel(request);
}

void ConnectionPools::drainStore(int store) {
  for (ConnectionPool& pool : pools_[static_cast<std::size_t>(store)]) {
    // Establishing a connection may take until the drain grace is over, so no request is left
    // waiting for one.
    std::list<UpstreamRequest*> unsent = std::exchange(pool.waiting, {});
    for (UpstreamRequest* request : unsent) complete(request, AttemptOutcome::neverSent);
  }
  std::vector<UpstreamConnection*> all = connections_;
  for (UpstreamConnection* connection : all)
    if (connection->store == store) connection->drain();
}

void ConnectionPools::cancelUnsent(const std::function<bool(const UpstreamRequest&)>& predicate) {
  for (const std::unique_ptr<UpstreamRequest>& request : requests_)
    if (request->firstByteSentAt == kNever && predicate(*request)) request->sendBy = kNever;
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
  auto isToStore = [&](const auto& item) { return item->store == store; };
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

// If this process has no descriptor left for a connection to a store, the store must not count as
// unreachable. Its pool waits for a descriptor instead.
void ConnectionPools::openOrQueue(PoolKey key) {
  ConnectionPool& pool = poolOf(key);
  if (!pool.needsConnection(maxConcurrentRequests(key.version)) || tryOpen(key)) return;
  queue_.push(key, pool);
  if (isWatchingQueue_) return;
  isWatchingQueue_ = true;
  scheduler_.spawn(watchQueue());
}

// There may be more stores than this process has descriptors, so the connection that has been idle
// longest is closed if the limit is reached. Connections for probes are limited because probing all
// stores at once would leave no descriptors for statements.
bool ConnectionPools::hasDescriptor(PoolDemand demand) {
  if (demand == PoolDemand::probes) {
    auto probing = std::count_if(
        connections_.begin(), connections_.end(),
        [](const UpstreamConnection* connection) { return connection->isForProbe; });
    std::size_t maxProbing = std::max<std::size_t>(1, limits_.maxConnections / kProbeShareDivisor);
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
  ++openedCount_;
  scheduler_.spawn(run(std::move(connection)));
  return true;
}

void ConnectionPools::onDescriptorFreed() {
  for (PoolDemand demand : kPoolDemands)
    while (!queue_.poolsFor(demand).empty()) {
      PoolKey key = queue_.poolsFor(demand).front();
      ConnectionPool& pool = poolOf(key);
      bool stillNeedsIt = pool.needsConnection(maxConcurrentRequests(key.version)) &&
                          pool.demand() == demand;
      if (stillNeedsIt && !tryOpen(key)) break;
      queue_.pop(demand, pool);
      openOrQueue(key);  // if it needs more than one, it is queued again at the end
    }
}

// Collects the requests of a pool that have waited too long for a descriptor or are no longer
// wanted.
void ConnectionPools::collectExpired(PoolKey key, std::vector<UpstreamRequest*>& expired) {
  ConnectionPool& pool = poolOf(key);
  TimePoint now = scheduler_.now();
  // Connections for the first requests are already being established.
  std::size_t covered = static_cast<std::size_t>(pool.connecting) *
                        maxConcurrentRequests(key.version);
  std::size_t position = 0;
  for (UpstreamRequest* request : pool.waiting) {
    bool isCovered = position < covered;
    ++position;
    if (isCovered || request->lackedConnectionSlot) continue;
    double maxWait = request->statement >= 0 ? kStatementMaxWait : kProbeMaxWait;
    bool waitedTooLong = now - request->startedAt >= limits_.connectTimeout * maxWait;
    if (!waitedTooLong && isStillWanted(*request)) continue;
    request->lackedConnectionSlot = true;
    expired.push_back(request);
  }
}

// Otherwise these requests would wait until their client's deadline although other stores may be
// reachable.
void ConnectionPools::failExpired() {
  std::vector<UpstreamRequest*> expired;
  for (PoolDemand demand : kPoolDemands)
    for (PoolKey key : queue_.poolsFor(demand)) collectExpired(key, expired);
  for (UpstreamRequest* request : expired) {
    log::line("stores_crowded", "connections=%zu store=%d", connections_.size(), request->store);
    poolOf(*request).waiting.remove(request);
    complete(request, AttemptOutcome::neverSent);
  }
}

runtime::Task<> ConnectionPools::watchQueue() {
  while (!queue_.isEmpty()) {
    co_await runtime::sleepUntil(scheduler_,
                                 scheduler_.now() + limits_.connectTimeout * kQueueCheckInterval);
    failExpired();
    onDescriptorFreed();
  }
  isWatchingQueue_ = false;
}

bool ConnectionPools::isStillWanted(const UpstreamRequest& request) const {
  // A process that has used up its CPU quota is paused in the middle of a round. A bounded read
  // that is checked against the time at which the round began could then be sent stale.
  TimePoint now = scheduler_.steadyNow();
  return !request.isCancelled && request.deadline > now && request.sendBy > now &&
         owner_.isWanted(request);
}

bool ConnectionPools::maySend(UpstreamRequest& request) {
  TimePoint now = scheduler_.steadyNow();
  if (!owner_.maySend(request, now)) return false;
  request.firstByteSentAt = now;
  return true;
}

UpstreamRequest* ConnectionPools::nextRequest(UpstreamConnection& connection) {
  std::list<UpstreamRequest*>& waiting = poolOf(connection).waiting;
  while (!waiting.empty()) {
    UpstreamRequest* request = waiting.front();
    waiting.pop_front();
    if (isStillWanted(*request)) {
      request->connection = &connection;
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
  request->connection = nullptr;
  ++request->requeueCount;
  // Without this limit, a store that closes each connection as soon as it is established would be
  // connected to in an endless loop (test closesAtOnce).
  if (request->requeueCount > kMaxRequeues) return complete(request, AttemptOutcome::connectFailed);
  poolOf(*request).waiting.push_front(request);
}

// Removes the request from the table. The last one in the table moves to its index.
std::unique_ptr<UpstreamRequest> ConnectionPools::release(UpstreamRequest* request) {
  std::size_t index = request->index;
  std::swap(requests_[index], requests_.back());
  requests_[index]->index = index;
  std::unique_ptr<UpstreamRequest> released = std::move(requests_.back());
  requests_.pop_back();
  return released;
}

void ConnectionPools::complete(UpstreamRequest* request, AttemptOutcome outcome) {
  request->outcome = outcome;
  request->connection = nullptr;
  std::unique_ptr<UpstreamRequest> released = release(request);
  owner_.onRequestEnded(*released);
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

// Catches exceptions: one that escaped from run() would leave the connection's requests pending
// forever (test storeFaults).
runtime::Task<> ConnectionPools::tryServe(UpstreamConnection& connection) {
  try {
    co_await connection.serve();
  } catch (const std::exception& e) {
    log::line("task_failed", "what=\"%s\"", e.what());
  }
}

// Ends the requests that the failed connection was opened for. A request whose `sendBy` or
// deadline passed meanwhile also counts as having found the store unreachable.
void ConnectionPools::failWaiting(UpstreamConnection& connection) {
  std::list<UpstreamRequest*>& waiting = poolOf(connection).waiting;
  std::size_t remaining = maxConcurrentRequests(connection.version);
  while (remaining > 0 && !waiting.empty()) {
    UpstreamRequest* request = waiting.front();
    waiting.pop_front();
    bool isWanted = !request->isCancelled && owner_.isWanted(*request);
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
  // Requests that were to use this connection need another one.
  openOrQueue({connection.store, connection.version});
  onDescriptorFreed();
}

}  // namespace reedchute::upstream

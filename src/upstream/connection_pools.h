// The pools of connections to all stores, by store and protocol version, and the requests that
// travel on them. The pipeline submits and cancels requests, discovery says where the stores are,
// and connections ask for their next request. Each submitted request is handed to
// AttemptOwner::ended() exactly once.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "request/request.h"
#include "runtime/socket.h"
#include "upstream/connection_pool.h"
#include "upstream/descriptor_queue.h"
#include "upstream/upstream_connection.h"
#include "upstream/upstream_protocol.h"

namespace reedchute::upstream {

class ConnectionPools {
 public:
  struct Limits {
    Duration connectTimeout, keepalive;
    std::size_t maxConnections = 0;    // of all stores together
    std::size_t maxRowBytes = 0;       // of one row
    std::size_t maxBufferedBytes = 0;  // of all responses on their way together
  };

  ConnectionPools(runtime::Scheduler& scheduler, request::AttemptOwner& owner, Limits limits);
  ~ConnectionPools();

  // Adds a protocol version; to be called before the first setAddress().
  ProtocolVersion addProtocol(UpstreamProtocol& protocol);

  // Where a store is reached in one version. Connections to another address are drained.
  void setAddress(int store, ProtocolVersion version, const sockaddr_in& address);
  // Sends the request on a ready connection, or as soon as there is one.
  UpstreamRequest* submit(std::unique_ptr<UpstreamRequest> submitted);
  // The response is not wanted any more. The request ends in its connection's own turn.
  void cancel(UpstreamRequest* request);
  // The store drains or is gone: what still waits for a connection to it is never sent.
  void drainStore(int store);
  // Of the requests that are not written yet, those that `which` selects are never sent.
  void cancelUnsent(const std::function<bool(const UpstreamRequest&)>& which);
  void closeIdleConnections(int store);
  std::size_t connectionCount() const { return connections_.size(); }
  std::uint64_t openedCount() const { return opened_; }  // connections begun since the start
  // Is there neither a connection nor a request to the store?
  bool isUnused(int store) const;
  // Drops all that is known of a store that is unused.
  void removeStore(int store);

  // For connections.
  runtime::Scheduler& scheduler() { return scheduler_; }
  const Limits& limits() const { return limits_; }
  std::size_t bufferedBytes() const;  // of all connections
  // Is the request still to be written? Its statement may have ended while it waited for a
  // connection.
  bool isStillWanted(const UpstreamRequest& request) const;
  // May the request be written at this very moment? To be asked right before the write.
  bool maySend(UpstreamRequest& request);
  // The next request for this connection, or none. Those that are not wanted any more end on the
  // way.
  UpstreamRequest* nextRequest(UpstreamConnection& connection);
  // The connection may be given requests until markBusy(), or until one fills it.
  void markReady(UpstreamConnection& connection);
  void markBusy(UpstreamConnection& connection);
  // A request that wasn't written waits again, before all others.
  void requeue(UpstreamRequest* request);
  // Hands the request back to its owner.
  void complete(UpstreamRequest* request, AttemptOutcome outcome);

 private:
  ConnectionPool& poolOf(PoolKey key) {
    return pools_[static_cast<std::size_t>(key.store)][static_cast<std::size_t>(key.version)];
  }
  ConnectionPool& poolOf(const UpstreamConnection& connection) {
    return poolOf(PoolKey{connection.store, connection.version});
  }
  ConnectionPool& poolOf(const UpstreamRequest& request) {
    return poolOf(PoolKey{request.store, request.version});
  }
  std::size_t maxConcurrentRequests(ProtocolVersion version) const {
    return protocols_[static_cast<std::size_t>(version)]->maxConcurrentRequests();
  }
  std::unique_ptr<UpstreamRequest> release(UpstreamRequest* request);
  void openOrQueue(PoolKey key);
  bool tryOpen(PoolKey key);  // false where no descriptor is left
  bool hasDescriptor(PoolDemand demand);
  bool closeLongestIdle();
  void onDescriptorFreed();
  void collectUnplaced(PoolKey key, std::vector<UpstreamRequest*>& unplaced);
  void failUnplaced();
  void failWaiting(UpstreamConnection& connection);
  runtime::Task<> watchQueue();
  runtime::Task<> run(std::unique_ptr<UpstreamConnection> owned);
  runtime::Task<bool> tryConnect(UpstreamConnection& connection);
  runtime::Task<> tryServe(UpstreamConnection& connection);

  runtime::Scheduler& scheduler_;
  request::AttemptOwner& owner_;
  Limits limits_;
  std::vector<UpstreamProtocol*> protocols_;        // by version
  std::vector<std::vector<ConnectionPool>> pools_;  // by store and version
  std::vector<UpstreamConnection*> connections_;
  DescriptorQueue queue_;
  bool isWatchingQueue_ = false;
  std::uint64_t opened_ = 0;
  std::vector<std::unique_ptr<UpstreamRequest>> requests_;
};

}  // namespace reedchute::upstream

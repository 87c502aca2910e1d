// The connection pools to all stores, by store and protocol version, and the requests that are
// waiting or in flight. The pipeline submits and cancels requests, discovery sets the addresses of
// stores, and connections fetch their next request. Each submitted request is passed to
// AttemptOwner::onRequestEnded() exactly once.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "request/attempt_owner.h"
#include "request/protocol_version.h"
#include "request/upstream_request.h"
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
    std::size_t maxConnections = 0;    // to all stores together
    std::size_t maxRowBytes = 0;       // of one row
    std::size_t maxBufferedBytes = 0;  // of all responses being received together
  };

  ConnectionPools(runtime::Scheduler& scheduler, request::AttemptOwner& owner, Limits limits);
  ~ConnectionPools();

  // Adds a protocol version; to be called before the first setAddress(). `protocol` has to outlive
  // the pools.
  ProtocolVersion addProtocol(UpstreamProtocol& protocol);

  // Sets the address of a store for one protocol version. Connections to a previous address are
  // drained.
  void setAddress(int store, ProtocolVersion version, const sockaddr_in& address);
  // Sends the request on a ready connection, or as soon as there is one. The returned pointer is
  // valid until AttemptOwner::onRequestEnded() has returned for the request.
  UpstreamRequest* submit(std::unique_ptr<UpstreamRequest> submitted);
  // The response is no longer needed. The request doesn't end within this call, but when a
  // connection handles it next.
  void cancel(UpstreamRequest* request);
  // Called when a store is draining or was removed from the endpoint list. Requests that are
  // waiting for a connection to it are never sent, and its connections are drained.
  void drainStore(int store);
  // Requests that have not been written yet and match `predicate` are never sent.
  void cancelUnsent(const std::function<bool(const UpstreamRequest&)>& predicate);
  void closeIdleConnections(int store);
  std::size_t connectionCount() const { return connections_.size(); }
  // Number of connections opened since process start, including those that failed to connect.
  std::uint64_t openedCount() const { return openedCount_; }
  // Whether there is neither a connection nor a request to the store.
  bool isUnused(int store) const;
  // Discards all state of a store; requires isUnused().
  void removeStore(int store);

  // The functions below are for connections.
  runtime::Scheduler& scheduler() { return scheduler_; }
  const Limits& limits() const { return limits_; }
  std::size_t bufferedBytes() const;  // of all connections
  // Whether the request is still to be written. Its statement may have ended while it was waiting
  // for a connection.
  bool isStillWanted(const UpstreamRequest& request) const;
  // Whether the store may go on executing the request after the request has ended. If not, the
  // request may only end with its response or once its connection is closed.
  bool mayOutliveRequest(const UpstreamRequest& request) const {
    return owner_.mayOutliveRequest(request);
  }
  // Whether the request may be written now; records the time as its first write if so. To be called
  // immediately before the write.
  bool maySend(UpstreamRequest& request);
  // Assigns the next waiting request to this connection; null if there is none. Completes waiting
  // requests that are no longer wanted.
  UpstreamRequest* nextRequest(UpstreamConnection& connection);
  // The connection accepts requests until markBusy(), or until it carries the maximum number.
  void markReady(UpstreamConnection& connection);
  void markBusy(UpstreamConnection& connection);
  // Puts a request that was not written back at the head of its pool's queue.
  void requeue(UpstreamRequest* request);
  // Ends the request: reports it to the owner with this outcome, then destroys it.
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
  bool tryOpen(PoolKey key);  // false if no descriptor is available
  bool hasDescriptor(PoolDemand demand);
  bool closeLongestIdle();
  void onDescriptorFreed();
  void collectExpired(PoolKey key, std::vector<UpstreamRequest*>& expired);
  void failExpired();
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
  std::uint64_t openedCount_ = 0;
  std::vector<std::unique_ptr<UpstreamRequest>> requests_;
};

}  // namespace reedchute::upstream

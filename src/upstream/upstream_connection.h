// A connection to one store in one protocol version; implemented by each protocol. ConnectionPools
// creates it through UpstreamProtocol, assigns requests to it, and owns it until end() has
// returned.
#pragma once

#include <cstddef>

#include "request/protocol_version.h"
#include "request/upstream_request.h"
#include "runtime/task.h"

namespace reedchute::upstream {

using request::ProtocolVersion;
using request::UpstreamRequest;

class ConnectionPools;

class UpstreamConnection {
 public:
  UpstreamConnection(ConnectionPools& owner, int storeIndex, ProtocolVersion protocolVersion)
      : pools(owner), store(storeIndex), version(protocolVersion) {}
  virtual ~UpstreamConnection() = default;

  // Establishes the connection and performs the protocol's startup. Returns false if it isn't ready
  // for requests by `deadline`.
  virtual runtime::Task<bool> connect(TimePoint deadline) = 0;
  // Carries requests until the connection can't be used any more.
  virtual runtime::Task<> serve() = 0;
  // Closes the connection and completes all requests that are still on it, even if serve() threw.
  virtual runtime::Task<> end() = 0;
  // Accepts a request. Only called while the connection is marked ready.
  virtual void accept(UpstreamRequest* request) = 0;
  // The response to one of its requests is no longer needed.
  virtual void cancel(UpstreamRequest* request) = 0;
  // Closes the connection immediately.
  virtual void close() = 0;
  // Accepts no further requests, and closes once the pending ones have ended.
  virtual void drain() {}
  virtual std::size_t requestCount() const = 0;
  virtual std::size_t bufferedBytes() const = 0;

  ConnectionPools& pools;
  const int store;
  const ProtocolVersion version;
  TimePoint idleSince{};    // when the most recent request ended
  bool isForProbe = false;  // opened for a probe and not ready yet
};

}  // namespace reedchute::upstream

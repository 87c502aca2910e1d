// A connection to one store in one protocol version. ConnectionPools creates it through the
// protocol, hands it requests and owns it until end() has returned; each protocol implements it.
#pragma once

#include <cstddef>

#include "request/request.h"
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

  // Does what comes before the first request; false where the connection can't be had by `until`.
  virtual runtime::Task<bool> connect(TimePoint until) = 0;
  // Carries requests until the connection is of no more use.
  virtual runtime::Task<> serve() = 0;
  // Closes, and completes all requests that are still on it, also where serve() has thrown.
  virtual runtime::Task<> end() = 0;
  // Takes a request. Only called while the connection is marked ready.
  virtual void accept(UpstreamRequest* request) = 0;
  // One of its requests is not wanted any more.
  virtual void cancel(UpstreamRequest* request) = 0;
  // Closes at once.
  virtual void close() = 0;
  // Takes no new request, and closes when it has none.
  virtual void drain() {}
  virtual std::size_t requestCount() const = 0;
  virtual std::size_t bufferedBytes() const = 0;

  ConnectionPools& pools;
  const int store;
  const ProtocolVersion version;
  TimePoint idleSince{};    // when its last request ended
  bool isForProbe = false;  // made for a probe, and not ready since
};

}  // namespace reedchute::upstream

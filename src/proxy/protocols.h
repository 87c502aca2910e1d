// The client protocols of the proxy. To add one, add a folder under src/protocols and a class in
// protocols.cpp.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/id_index.h"
#include "client/client_connections.h"
#include "config/config.h"
#include "request/open_statement_ids.h"
#include "request/protocol_version.h"
#include "request/statement_handler.h"
#include "upstream/connection_pools.h"

namespace reedchute::proxy {

// The indices of stores and groups, by their ids in the endpoint list.
struct EndpointIds {
  IdIndex<std::string> stores;
  IdIndex<std::int64_t> groups;
};

// The components that a protocol uses. All must outlive it.
struct ProtocolContext {
  runtime::Scheduler& scheduler;
  request::StatementHandler& handler;
  upstream::ConnectionPools& pools;
  const EndpointIds& endpointIds;
  const request::OpenStatementIds& openIds;
};

// A configured protocol: how clients speak it, and how stores are reached in it.
class Protocol {
 public:
  virtual ~Protocol() = default;
  virtual const char* name() const = 0;
  virtual client::ClientProtocol& clientProtocol() = 0;
  virtual sockaddr_in listenAddress() const = 0;
  // Called with the port that the listener is bound to.
  virtual void onListening(int /*port*/) {}
  // The number of client connections reserved for this protocol; 0: it may use those that aren't
  // reserved for other protocols.
  virtual std::size_t reservedConnections() const { return 0; }
  // The versions in which requests are sent to stores; never empty.
  virtual std::vector<request::ProtocolVersion> versions() const = 0;
  // Whether stores are probed in this protocol.
  virtual bool isUsedForProbes() const = 0;
  // The address of a store in this protocol; nothing if it isn't reachable in it.
  virtual std::optional<sockaddr_in> upstreamAddress(const discovery::Endpoint& endpoint) const = 0;
  // Called when the process begins to drain; clients should be notified to connect elsewhere.
  virtual void onDraining() {}
};

using Protocols = std::vector<std::unique_ptr<Protocol>>;

// Creates the configured protocols, PostgreSQL first, and adds their versions to the connection
// pools. `config` must outlive them.
Protocols createProtocols(config::Config& config, const ProtocolContext& context);

}  // namespace reedchute::proxy

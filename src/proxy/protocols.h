// The client protocols that the proxy speaks. Each has its folder under src/protocols; another one
// is a folder and a class in protocols.cpp.
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

// The indices of stores and groups, by the names that the endpoint list has for them.
struct EndpointIds {
  IdIndex<std::string> stores;
  IdIndex<std::int64_t> groups;
};

// What a protocol works with. Everything is borrowed and has to outlive it.
struct ProtocolContext {
  runtime::Scheduler& scheduler;
  request::StatementHandler& handler;
  upstream::ConnectionPools& pools;
  const EndpointIds& endpointIds;
  const request::OpenStatementIds& openIds;
};

class Protocol {
 public:
  virtual ~Protocol() = default;
  virtual const char* name() const = 0;
  virtual client::ClientProtocol& clientProtocol() = 0;
  virtual sockaddr_in listenAddress() const = 0;
  // Called with the port that the listener got.
  virtual void onListening(int /*port*/) {}
  // Client connections that are reserved for it; 0: it shares what the others leave.
  virtual std::size_t reservedConnections() const { return 0; }
  virtual std::vector<request::ProtocolVersion> versions() const = 0;
  // Whether stores are probed in this protocol.
  virtual bool isForProbes() const = 0;
  // Where a store is reached in this protocol.
  virtual std::optional<sockaddr_in> upstreamAddress(const discovery::Endpoint& endpoint) const = 0;
  // Called when the process begins to drain; clients should be told to go elsewhere.
  virtual void onDraining() {}
};

using Protocols = std::vector<std::unique_ptr<Protocol>>;

// Creates the configured protocols, PostgreSQL first, and adds their versions to the pools.
Protocols createProtocols(config::Config& config, const ProtocolContext& context);

}  // namespace reedchute::proxy

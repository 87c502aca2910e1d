// The table of the protocols that the front speaks. Each has its folder under src/doors; another
// one is a folder and a row more.
#pragma once

#include <memory>
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

// What a protocol's unit stands on.
struct ProtocolContext {
  runtime::Scheduler& scheduler;
  request::StatementHandler& handler;
  upstream::ConnectionPools& stores;
  const IdIndex<std::string>& storeIds;
  const IdIndex<std::int64_t>& groups;
  const request::OpenStatementIds& openIds;
};

class Protocol {
 public:
  virtual ~Protocol() = default;
  virtual const char* name() const = 0;
  virtual client::ClientProtocol& door() = 0;
  virtual sockaddr_in listen() const = 0;
  virtual void listening(int /*port*/) {}
  virtual std::size_t connections() const {
    return 0;
  }  // that its clients may hold; 0: what the others leave
  virtual std::vector<request::ProtocolVersion> versions() const = 0;
  virtual bool probes() const = 0;  // is it the one in which stores are probed?
  // Where a store is spoken to in it.
  virtual std::optional<sockaddr_in> addressOf(const discovery::Endpoint& m) const = 0;
  virtual void leaving() {}  // clients are to go elsewhere from now on
};

// By the given settings; the first is PostgreSQL. Adds its versions to the stores' table.
std::vector<std::unique_ptr<Protocol>> protocolsOf(Config& config, const ProtocolContext& ground);

}  // namespace reedchute::proxy

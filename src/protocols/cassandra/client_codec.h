// The client side of the Cassandra native protocol: state shared by all client connections. Each
// connection is a Session, which multiplexes streams and may respond to them in any order.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "client/client_connections.h"
#include "protocols/cassandra/statement_decoder.h"
#include "request/statement_handler.h"
#include "runtime/scheduler.h"

namespace reedchute::protocols::cassandra {

class Session;

// Store properties that sessions need.
class Fleet {
 public:
  virtual ~Fleet() = default;
  // The id of the store with this index, as in the endpoint list.
  virtual const std::string& storeId(int store) const = 0;
};

// State shared by all sessions of the protocol. Must outlive them, as must the references passed to
// the constructor.
class ClientProtocol : public client::ClientProtocol {
 public:
  // `version4`, `version5`: the entries of the connection pools' version table for versions 4 and 5
  // of the native protocol.
  ClientProtocol(runtime::Scheduler& scheduler, request::StatementHandler& handler,
                 const Fleet& fleet, const Config& config, StatementDecoder decoder,
                 PreparedTexts& texts, request::ProtocolVersion version4,
                 request::ProtocolVersion version5)
      : scheduler_(scheduler),
        handler_(handler),
        fleet_(fleet),
        config_(config),
        decoder_(std::move(decoder)),
        texts_(texts),
        version4_(version4),
        version5_(version5) {}

  std::unique_ptr<client::ClientCodec> newCodec(client::ClientChannel& channel) override;
  std::size_t maxMessageBytes() const override;

  // Sends STATUS_CHANGE DOWN for this proxy to the sessions that registered for STATUS_CHANGE.
  void announceDraining();
  // Sends an EVENT to the sessions that registered for SCHEMA_CHANGE, after a schema change that
  // was made through this proxy. `event` is the body of the EVENT.
  void announceSchemaChange(std::string_view event);

  // Called by sessions. Registering a session twice has no further effect. unregister() removes all
  // of its registrations.
  void registerForStatus(Session& session);
  void registerForSchema(Session& session);
  void unregister(Session& session);

  runtime::Scheduler& scheduler() const { return scheduler_; }
  request::StatementHandler& handler() const { return handler_; }
  const Fleet& fleet() const { return fleet_; }
  const Config& config() const { return config_; }
  const StatementDecoder& decoder() const { return decoder_; }
  PreparedTexts& texts() const { return texts_; }
  // The entry of the connection pools' version table for a native protocol version, 4 or 5.
  request::ProtocolVersion protocolVersion(int version) const {
    return version == 5 ? version5_ : version4_;
  }

 private:
  runtime::Scheduler& scheduler_;
  request::StatementHandler& handler_;
  const Fleet& fleet_;
  const Config& config_;
  const StatementDecoder decoder_;
  PreparedTexts& texts_;
  const request::ProtocolVersion version4_;
  const request::ProtocolVersion version5_;
  std::vector<Session*> statusListeners_;  // sessions that registered for STATUS_CHANGE
  std::vector<Session*> schemaListeners_;  // sessions that registered for SCHEMA_CHANGE
};

}  // namespace reedchute::protocols::cassandra

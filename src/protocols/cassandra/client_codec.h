// The Cassandra protocol towards the clients: many streams on a connection, answered in any order.
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

// What sessions need to know about the stores.
class Fleet {
 public:
  virtual ~Fleet() = default;
  virtual const std::string& storeId(int store) const = 0;
};

// What all sessions of the protocol share. It must outlive them.
class ClientProtocol : public client::ClientProtocol {
 public:
  // `version4`, `version5`: the rows of the stores' table for these protocol versions.
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

  // Tells the sessions that registered for STATUS_CHANGE that this proxy goes down.
  void announceDraining();
  // Tells the sessions that registered for SCHEMA_CHANGE of a change made through this proxy.
  // `event` is the body of EVENT.
  void announceSchemaChange(std::string_view event);

  // For sessions; registering twice has no further effect.
  void registerForStatus(Session& session);
  void registerForSchema(Session& session);
  void unregister(Session& session);

  runtime::Scheduler& scheduler() const { return scheduler_; }
  request::StatementHandler& handler() const { return handler_; }
  const Fleet& fleet() const { return fleet_; }
  const Config& config() const { return config_; }
  const StatementDecoder& decoder() const { return decoder_; }
  PreparedTexts& texts() const { return texts_; }
  // The row of the stores' table for a protocol version, 4 or 5.
  request::ProtocolVersion rowOf(int version) const { return version == 5 ? version5_ : version4_; }

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

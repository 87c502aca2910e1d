// The Cassandra protocol towards the clients: many streams on a connection, answered in any order.
#pragma once

#include <vector>

#include "client/client_connections.h"
#include "protocols/cassandra/statement_decoder.h"
#include "request/statement_handler.h"
#include "runtime/scheduler.h"

namespace reedchute::protocols::cassandra {

class Session;

// What sessions ask of the front beside its handler.
class Fleet {
 public:
  virtual ~Fleet() = default;
  virtual const std::string& storeId(int store) const = 0;
};

class ClientProtocol : public client::ClientProtocol {
 public:
  // `versions`: the rows of the stores' table for versions 4 and 5.
  ClientProtocol(runtime::Scheduler& s, request::StatementHandler& d, const Fleet& f,
                 const Config& g, StatementDecoder t, PreparedTexts& p,
                 request::ProtocolVersion four, request::ProtocolVersion five)
      : scheduler(s),
        handler(d),
        fleet(f),
        config(g),
        decoder(std::move(t)),
        texts(p),
        versions{four, five} {}

  std::unique_ptr<client::ClientCodec> newCodec(client::ClientChannel& line) override;
  std::size_t maxMessageBytes() const override;
  // Tells those who asked for it that this front goes down.
  void leaving();
  // A change of the schema went through this front: `event` is the body of EVENT.
  void schemaChanged(std::string_view event);

  runtime::Scheduler& scheduler;
  request::StatementHandler& handler;
  const Fleet& fleet;
  const Config& config;
  const StatementDecoder decoder;
  PreparedTexts& texts;
  const request::ProtocolVersion versions[2];
  std::vector<Session*> forStatus, forSchema;  // sessions that registered for these events
};

}  // namespace reedchute::protocols::cassandra

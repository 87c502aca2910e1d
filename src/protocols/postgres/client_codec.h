// PostgreSQL towards the clients: simple queries of protocol version 3, replied to in their order.
#pragma once

#include "client/client_protocol.h"
#include "protocols/postgres/statement_decoder.h"
#include "request/protocol_version.h"
#include "request/statement_handler.h"
#include "runtime/scheduler.h"

namespace reedchute::protocols::postgres {

// Limits of statements that stand behind others on their connection.
struct PipelineLimits {
  std::size_t maxStatements = 1;     // open at a time, of one client
  std::size_t maxBufferedBytes = 0;  // of replies that wait for their turn, of all clients
};

// What the codecs of all clients share.
struct CodecContext {
  runtime::Scheduler& scheduler;
  request::StatementHandler& handler;
  StatementDecoder decoder;
  request::ProtocolVersion version;  // in which statements are sent to stores
  PipelineLimits pipeline;
};

class ClientProtocol : public client::ClientProtocol {
 public:
  explicit ClientProtocol(const CodecContext& context) : context_(context) {}

  std::unique_ptr<client::ClientCodec> newCodec(client::ClientChannel& channel) override;
  std::size_t maxMessageBytes() const override;

 private:
  CodecContext context_;
  std::size_t bufferedReplyBytes_ = 0;  // replies that wait for their turn, of all clients
};

}  // namespace reedchute::protocols::postgres

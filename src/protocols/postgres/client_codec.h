// The client side of the PostgreSQL protocol: simple queries of protocol version 3, whose replies
// are sent in the order of the queries.
#pragma once

#include "client/client_protocol.h"
#include "protocols/postgres/statement_decoder.h"
#include "request/protocol_version.h"
#include "request/statement_handler.h"
#include "runtime/scheduler.h"

namespace reedchute::protocols::postgres {

// Limits on the statements that a client pipelines on its connection.
struct PipelineLimits {
  std::size_t maxStatements = 1;     // open at a time per client
  std::size_t maxBufferedBytes = 0;  // of the replies of all clients that wait for earlier ones
};

// State shared by the codecs of all clients. The references must outlive the codecs.
struct CodecContext {
  runtime::Scheduler& scheduler;
  request::StatementHandler& handler;
  StatementDecoder decoder;
  request::ProtocolVersion version;  // version in which statements are sent to stores
  PipelineLimits pipeline;
};

class ClientProtocol : public client::ClientProtocol {
 public:
  explicit ClientProtocol(const CodecContext& context) : context_(context) {}

  std::unique_ptr<client::ClientCodec> newCodec(client::ClientChannel& channel) override;
  std::size_t maxMessageBytes() const override;

 private:
  CodecContext context_;
  std::size_t bufferedReplyBytes_ = 0;  // replies of all clients that wait for an earlier reply
};

}  // namespace reedchute::protocols::postgres

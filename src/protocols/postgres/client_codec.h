// PostgreSQL towards the clients: simple queries, answered in their order.
#pragma once

#include "client/client_connections.h"
#include "protocols/postgres/statement_decoder.h"

namespace reedchute::protocols::postgres {

// What one client may have in hand at a time, and how many bytes of answers may wait for their
// turn, of all clients.
struct Pipeline {
  std::size_t statements = 1, bytes = 0;
};

class ClientProtocol : public client::ClientProtocol {
 public:
  // `version`: the row of the stores' table in which its statements travel.
  ClientProtocol(runtime::Scheduler& s, request::StatementHandler& d, StatementDecoder t,
                 request::ProtocolVersion in, Pipeline p)
      : scheduler(s), handler(d), decoder(t), version(in), pipeline(p) {}

  std::unique_ptr<client::ClientCodec> talk(client::ClientChannel& line) override;
  std::size_t mostMessage() const override;

  runtime::Scheduler& scheduler;
  request::StatementHandler& handler;
  const StatementDecoder decoder;
  const request::ProtocolVersion version;
  const Pipeline pipeline;
  std::size_t kept = 0;  // bytes of answers that wait for their turn
};

}  // namespace reedchute::protocols::postgres

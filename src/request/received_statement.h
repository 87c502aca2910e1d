// A statement as a client protocol has decoded it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/time.h"
#include "decision/engine.h"
#include "request/protocol_version.h"
#include "request/statement_payload.h"

namespace reedchute::request {

inline constexpr std::size_t kMaxTenantBytes = 64;

struct ReceivedStatement {
  // When the last byte arrived. The client's timeout runs from here, however long the statement
  // waited behind others on its connection.
  TimePoint receivedAt;
  Duration timeout;
  std::string id;  // empty: the client gave none
  ProtocolVersion version = 0;
  std::unique_ptr<StatementPayload> payload;
  Arrival arrival;
  std::string tenant;                // as the client named it, configured or not
  std::uint64_t idempotencyKey = 0;  // as idempotencyKeyOf() returns it; 0: none
};

}  // namespace reedchute::request

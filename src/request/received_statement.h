// A statement as decoded by a client protocol.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "decision/engine.h"
#include "request/protocol_version.h"
#include "request/statement_payload.h"

namespace reedchute::request {

inline constexpr std::size_t kMaxTenantBytes = 64;

struct ReceivedStatement {
  // When the last byte arrived. The client's timeout starts here, even if the statement was queued
  // behind others on its connection.
  TimePoint receivedAt;
  Duration timeout;
  std::string id;  // empty if the client sent none
  ProtocolVersion version = 0;
  std::unique_ptr<StatementPayload> payload;
  Arrival arrival;
  // The position that came with the read which this one continues (`arrival.precedingRead`).
  std::optional<WallTime> precedingPosition;
  std::string tenant;                // as the client sent it; may not be configured
  std::uint64_t idempotencyKey = 0;  // from idempotencyKeyOf(); 0 if none
};

}  // namespace reedchute::request

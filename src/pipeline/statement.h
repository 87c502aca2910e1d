// The state of a statement from its admission until its last attempt has ended.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "decision/engine.h"
#include "invariants/attempt_guard.h"
#include "request/protocol_version.h"
#include "request/response_sink.h"
#include "request/statement_payload.h"
#include "request/upstream_request.h"

namespace reedchute::pipeline {

struct Statement {
  request::ResponseSink* sink = nullptr;  // null once closed; not owned
  int requestId = 0;                      // assigned by the sink
  std::string id;
  request::ProtocolVersion version = 0;
  std::unique_ptr<request::StatementPayload> payload;
  int workload = -1;
  int group = -1;
  std::string tenant;
  std::uint64_t idempotencyKey = 0;
  std::optional<WallTime> precedingPosition;  // of the read that it continues
  TimePoint admittedAt;
  TimePoint deadline;
  TimePoint clientGoneAt = kForever;
  bool isOpen = false;  // the client is waiting for the final response
  int outstandingAttempts = 0;
  // Both by attempt number. `requests` are owned by the connection pools and null once ended;
  // `attempts` holds the facts that the attempt guard needs.
  std::vector<request::UpstreamRequest*> requests;
  std::vector<invariants::EarlierAttempt> attempts;
  AttemptOutcome lastOutcome = AttemptOutcome::neverSent;  // of the attempt that ended last
};

}  // namespace reedchute::pipeline

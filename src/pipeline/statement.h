// What the proxy holds of a statement from its admission until its last attempt has ended.
#pragma once

#include <cstdint>
#include <memory>
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
  request::ResponseSink* sink = nullptr;  // none once it is answered or its client has gone
  int requestId = 0;                      // the sink's own number for it
  std::string id;
  request::ProtocolVersion version = 0;
  std::unique_ptr<request::StatementPayload> payload;
  int workload = -1;
  int group = -1;
  std::string tenant;
  std::uint64_t idempotencyKey = 0;
  TimePoint admittedAt;
  TimePoint deadline;
  TimePoint clientGoneAt = kForever;
  bool isOpen = false;  // its client still awaits the final response
  int outstandingAttempts = 0;
  std::vector<request::UpstreamRequest*> requests;         // by attempt; null once it has ended
  std::vector<invariants::EarlierAttempt> attempts;        // the same, as the guard knows them
  AttemptOutcome lastOutcome = AttemptOutcome::neverSent;  // of the attempt that ended last
};

}  // namespace reedchute::pipeline

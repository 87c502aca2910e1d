// What the front holds of a statement from the moment it is taken until nothing of it is out.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "invariants/attempt_guard.h"
#include "request/request.h"

namespace reedchute::pipeline {

struct Statement {
  request::ResponseSink* sink = nullptr;  // none once it is answered or its client has gone
  int requestId = 0;
  std::string id;
  request::ProtocolVersion version = 0;
  std::unique_ptr<request::StatementPayload> payload;  // as it came
  int workload = -1, group = -1;
  std::string tenant;
  std::uint64_t mark = 0;
  TimePoint giveUpAt;
  bool open = false;
  int out = 0;
  std::vector<request::UpstreamRequest*>
      jobs;  // by the execution's number; none where it has ended
  std::vector<invariants::EarlierAttempt> attempts;        // the same, as the guard knows them
  AttemptOutcome lastOutcome = AttemptOutcome::neverSent;  // of the attempt that ended last
  TimePoint came;                                          // when it was taken
  TimePoint clientLeftAt = kForever;  // when it was seen that its client had gone
};

}  // namespace reedchute::pipeline

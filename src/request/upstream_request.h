// One request to a store and its result: an attempt of a statement, or a probe.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "decision/engine.h"
#include "request/protocol_version.h"
#include "request/response.h"
#include "request/statement_payload.h"
#include "request/store_report.h"

namespace reedchute::upstream {
class UpstreamConnection;
}

namespace reedchute::request {

struct UpstreamRequest {
  int statement = -1;  // -1 for a probe
  int attempt = -1;    // attempt number within the statement, from 0
  int store = -1;
  ProtocolVersion version = 0;
  const StatementPayload* payload = nullptr;  // null for a probe
  TimePoint startedAt;
  TimePoint deadline;
  TimePoint sendBy = kForever;  // not written after this time

  // How long the proxy will still wait for the response, for protocols that announce this to the
  // store. Computed when the request is written: if more were announced, the store would go on
  // working for a client that no longer waits (test toldLeft).
  std::int64_t remainingMs(TimePoint now) const {
    return std::max<std::int64_t>(0, (deadline - now).us / 1000);
  }

  upstream::UpstreamConnection* connection = nullptr;  // that the request was assigned to
  std::size_t index = 0;                               // in the connection pools' table of requests
  TimePoint firstByteSentAt = kNever;
  TimePoint lastByteSentAt = kNever;
  std::int64_t announcedTimeoutMs = 0;
  int requeueCount = 0;  // connections that closed before it was written
  bool isCancelled = false;
  // The process had no descriptor for another connection, which says nothing about the store.
  bool lackedConnectionSlot = false;

  // The result; complete once the request has ended.
  AttemptOutcome outcome = AttemptOutcome::neverSent;
  Response response;  // or the store's error response
  Role role = Role::unknown;
  // The store's replication position, if this machine's clock finds it plausible.
  std::optional<WallTime> position;
  // The position that came with the response, plausible or not.
  std::optional<WallTime> statedPosition;
  StoreReport report;
};

}  // namespace reedchute::request

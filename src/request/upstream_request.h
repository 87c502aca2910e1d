// One message to a store and what came of it: an attempt of a statement, or a probe.
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
  int statement = -1;  // -1: a probe
  int attempt = -1;    // its number among the attempts of the statement
  int store = -1;
  ProtocolVersion version = 0;
  const StatementPayload* payload = nullptr;  // none: a probe
  TimePoint startedAt;
  TimePoint deadline;
  TimePoint sendBy = kForever;  // it is not written after this

  // How long the proxy still waits for the response, for protocols that announce it. Counted at the
  // write: a store that was announced more would work on for a client that has gone (test
  // toldLeft).
  std::int64_t remainingMs(TimePoint now) const {
    return std::max<std::int64_t>(0, (deadline - now).us / 1000);
  }

  upstream::UpstreamConnection* connection = nullptr;  // the one that it was given to
  std::size_t index = 0;                               // among all requests of the connection pools
  TimePoint firstByteSentAt = kNever;
  TimePoint lastByteSentAt = kNever;
  std::int64_t announcedTimeoutMs = 0;
  int requeueCount = 0;  // connections that failed before it was written to them
  bool isCancelled = false;
  // The process had no place for another connection, which says nothing about the store.
  bool lackedConnectionSlot = false;

  // The result.
  AttemptOutcome outcome = AttemptOutcome::neverSent;
  Response response;  // or the store's error
  Role role = Role::unknown;
  std::optional<WallTime> position;
  StoreReport report;
};

}  // namespace reedchute::request

// The last check before a request is written to a store. Counts the attempts that it refuses.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "config/engine_settings.h"
#include "invariants/attempt_guard.h"
#include "pipeline/statement.h"
#include "request/upstream_request.h"

namespace reedchute::pipeline {

class SendGate {
 public:
  SendGate(const invariants::AttemptGuard& guard, const EngineSettings& settings)
      : guard_(guard), settings_(settings) {}

  bool maySendProbe(const request::UpstreamRequest& probe, TimePoint now) const;
  // Records the time of sending in `statement` if the attempt is allowed; otherwise logs and counts
  // the refusal.
  bool maySendAttempt(const request::UpstreamRequest& request, Statement& statement, TimePoint now);
  // Number of attempts refused since process start.
  std::uint64_t refusedCount(invariants::Refusal refusal) const {
    return refusedCounts_[static_cast<std::size_t>(refusal)];
  }

 private:
  const invariants::AttemptGuard& guard_;
  const EngineSettings& settings_;
  std::array<std::uint64_t, static_cast<std::size_t>(invariants::Refusal::count)> refusedCounts_{};
};

}  // namespace reedchute::pipeline

// Checks ended attempts against the sending rules, using the times at which they were actually
// written. A breach is only reported as an invariant violation; the attempt is not affected.
#pragma once

#include "config/engine_settings.h"
#include "invariants/attempt_guard.h"
#include "pipeline/statement.h"
#include "request/upstream_request.h"

namespace reedchute::pipeline {

class SentAttemptCheck {
 public:
  SentAttemptCheck(const invariants::AttemptGuard& guard, const EngineSettings& settings)
      : guard_(guard), settings_(settings) {}

  // To be called after the outcome of `request` has been recorded in `statement`.
  void check(const request::UpstreamRequest& request, const Statement& statement) const;

 private:
  void checkClient(const request::UpstreamRequest& request, const Statement& statement) const;
  void checkSingleEffect(const request::UpstreamRequest& request, const Statement& statement) const;

  const invariants::AttemptGuard& guard_;
  const EngineSettings& settings_;
};

}  // namespace reedchute::pipeline

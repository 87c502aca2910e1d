// Checks ended attempts against the rules, by the times at which they were really written. What it
// finds is reported as an invariant violation and changes nothing.
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

  // `statement` already knows how this attempt ended.
  void check(const request::UpstreamRequest& request, const Statement& statement) const;

 private:
  void checkClient(const request::UpstreamRequest& request, const Statement& statement) const;
  void checkSingleEffect(const request::UpstreamRequest& request, const Statement& statement) const;

  const invariants::AttemptGuard& guard_;
  const EngineSettings& settings_;
};

}  // namespace reedchute::pipeline

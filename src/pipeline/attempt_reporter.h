// Reports to the engine how attempts and probes ended, and completes a statement when one of its
// attempts received the final response.
#pragma once

#include <cstdint>

#include "config/engine_settings.h"
#include "decision/engine.h"
#include "invariants/attempt_guard.h"
#include "pipeline/responder.h"
#include "pipeline/round_trigger.h"
#include "pipeline/send_gate.h"
#include "pipeline/sent_attempt_check.h"
#include "pipeline/statement_table.h"
#include "request/attempt_owner.h"
#include "runtime/scheduler.h"

namespace reedchute::pipeline {

class AttemptReporter : public request::AttemptOwner {
 public:
  AttemptReporter(runtime::Scheduler& scheduler, DecisionEngine& engine, Responder& responder,
                  StatementTable& statements, RoundTrigger& rounds,
                  const invariants::AttemptGuard& guard, const EngineSettings& settings)
      : scheduler_(scheduler),
        engine_(engine),
        responder_(responder),
        statements_(statements),
        rounds_(rounds),
        settings_(settings),
        gate_(guard, settings),
        check_(guard, settings) {}

  bool isWanted(const request::UpstreamRequest& request) const override;
  bool mayOutliveRequest(const request::UpstreamRequest& request) const override;
  bool maySend(const request::UpstreamRequest& request, TimePoint now) override;
  void onRequestEnded(request::UpstreamRequest& request) override;

  // Number of attempts refused immediately before their first byte was written, since process
  // start.
  std::uint64_t refusedCount(invariants::Refusal refusal) const {
    return gate_.refusedCount(refusal);
  }

 private:
  void onProbeEnded(const request::UpstreamRequest& probe);
  void onAttemptEnded(request::UpstreamRequest& request);
  void recordOutcome(const request::UpstreamRequest& request, Statement& statement) const;
  std::optional<TimePoint> timeOf(std::optional<WallTime> position) const;
  ReplicaReport reportOf(const request::UpstreamRequest& request) const;

  runtime::Scheduler& scheduler_;
  DecisionEngine& engine_;
  Responder& responder_;
  StatementTable& statements_;
  RoundTrigger& rounds_;
  const EngineSettings& settings_;
  SendGate gate_;
  SentAttemptCheck check_;
};

}  // namespace reedchute::pipeline

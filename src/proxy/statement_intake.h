// Receives statements from client connections. Rejects those for which the process has no memory,
// that arrive too late in the shutdown, or that the ledger can't record, and passes the others on
// to admission.
#pragma once

#include "config/config.h"
#include "ledger/usage_recorder.h"
#include "pipeline/admission.h"
#include "pipeline/round_trigger.h"
#include "pipeline/statement_table.h"
#include "request/request_counters.h"
#include "request/statement_handler.h"
#include "runtime/scheduler.h"

namespace reedchute::proxy {

class StatementIntake : public request::StatementHandler {
 public:
  // `ledger` may be null. All arguments must outlive the intake.
  StatementIntake(const runtime::Scheduler& scheduler, const config::Config& config,
                  pipeline::StatementTable& statements, pipeline::RoundTrigger& rounds,
                  pipeline::Admission& admission, const ledger::UsageRecorder* ledger)
      : scheduler_(scheduler),
        config_(config),
        statements_(statements),
        rounds_(rounds),
        admission_(admission),
        ledger_(ledger) {}

  int admit(request::ReceivedStatement received, request::ResponseSink& sink,
            int requestId) override;
  void onClientLeft(int statement) override;
  bool hasCapacity() const override;
  bool acceptsReceivedAt(TimePoint time) const override { return time <= acceptsUntil_; }

  // Rejects statements received after `time`.
  void closeAt(TimePoint time) { acceptsUntil_ = time; }

  // Counts the outcomes of all statements. Client connections update the outcomes that they see.
  request::RequestCounters& counters() { return counters_; }
  const request::RequestCounters& counters() const { return counters_; }

 private:
  const runtime::Scheduler& scheduler_;
  const config::Config& config_;
  pipeline::StatementTable& statements_;
  pipeline::RoundTrigger& rounds_;
  pipeline::Admission& admission_;
  const ledger::UsageRecorder* ledger_;
  TimePoint acceptsUntil_ = kForever;
  request::RequestCounters counters_;
};

}  // namespace reedchute::proxy

// Writes the ledger's state to the proxy's log: changes soon after they happen, figures with the
// other counters.
#pragma once

#include "ledger/usage_recorder.h"
#include "runtime/event.h"

namespace reedchute::proxy {

class LedgerLog {
 public:
  LedgerLog(runtime::Scheduler& scheduler, const ledger::UsageRecorder& ledger, Duration interval)
      : scheduler_(scheduler), ledger_(ledger), interval_(interval) {}

  void write();
  // Writes whenever the state has changed, looking once an `interval`, for as long as the process
  // runs.
  runtime::Task<> run();

 private:
  runtime::Scheduler& scheduler_;
  const ledger::UsageRecorder& ledger_;
  Duration interval_;
  ledger::UsageRecorderState written_;
};

}  // namespace reedchute::proxy

// Logs the state of the ledger: changes of its phase soon after they happen, and its counters along
// with the proxy's other counters.
#pragma once

#include "ledger/usage_recorder.h"
#include "runtime/event.h"

namespace reedchute::proxy {

class LedgerLog {
 public:
  LedgerLog(runtime::Scheduler& scheduler, const ledger::UsageRecorder& ledger, Duration interval)
      : scheduler_(scheduler), ledger_(ledger), interval_(interval) {}

  // Logs the counters, and whatever else has changed since the last call.
  void write();
  // Checks the ledger's phase once per `interval` and calls write() if it has changed. Never
  // returns.
  runtime::Task<> run();

 private:
  runtime::Scheduler& scheduler_;
  const ledger::UsageRecorder& ledger_;
  Duration interval_;
  ledger::UsageRecorderState written_;
};

}  // namespace reedchute::proxy

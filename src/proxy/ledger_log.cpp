#include "proxy/ledger_log.h"

#include "log/log.h"

namespace reedchute::proxy {
runtime::Task<> LedgerLog::run() {
  for (;;) {
    if (ledger_.state().is != written_.is) write();
    co_await runtime::sleepUntil(scheduler_, scheduler_.now() + interval_);
  }
}

void LedgerLog::write() {
  ledger::UsageRecorderState state = ledger_.state();
  if (state.is != written_.is)
    log::line("ledger", "state=%s what=\"%s\"", ledger::nameOf(state.is), state.what.c_str());
  if (state.lost != written_.lost)
    log::line("ledger_lost", "entries=%llu", log::printable(state.lost));
  if (state.jumps != written_.jumps)
    log::line("ledger_clock", "jumps=%llu", log::printable(state.jumps));
  if (state.diskErrors != written_.diskErrors)
    log::line("ledger_disk", "errors=%llu", log::printable(state.diskErrors));
  log::line("ledger_tally", "written=%llu durable=%llu ring_free=%zu",
            log::printable(state.written), log::printable(state.durable), state.ringFree);
  written_ = state;
}

}  // namespace reedchute::proxy

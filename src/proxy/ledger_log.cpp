#include "proxy/ledger_log.h"

#include "log/log.h"

namespace reedchute::proxy {
runtime::Task<> LedgerLog::run() {
  for (;;) {
    if (ledger_.state().phase != written_.phase) write();
    co_await runtime::sleepUntil(scheduler_, scheduler_.now() + interval_);
  }
}

void LedgerLog::write() {
  ledger::UsageRecorderState state = ledger_.state();
  if (state.phase != written_.phase)
    log::line("ledger", "state=%s what=\"%s\"", ledger::nameOf(state.phase), state.what.c_str());
  if (state.lost != written_.lost)
    log::line("ledger_lost", "entries=%llu", log::printable(state.lost));
  if (state.clockJumps != written_.clockJumps)
    log::line("ledger_clock", "jumps=%llu", log::printable(state.clockJumps));
  if (state.diskErrors != written_.diskErrors)
    log::line("ledger_disk", "errors=%llu", log::printable(state.diskErrors));
  log::line("ledger_tally", "written=%llu durable=%llu ring_free=%zu",
            log::printable(state.written), log::printable(state.durable), state.ringFree);
  written_ = state;
}

}  // namespace reedchute::proxy

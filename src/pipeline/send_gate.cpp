#include "pipeline/send_gate.h"

#include "log/log.h"

namespace reedchute::pipeline {

bool SendGate::maySendProbe(const request::UpstreamRequest& probe, TimePoint now) const {
  return !probe.isCancelled && probe.deadline > now && probe.sendBy > now &&
         !guard_.isPastDrainGrace(probe.store, settings_.drainGrace, now);
}

bool SendGate::maySendAttempt(const request::UpstreamRequest& request, Statement& statement,
                              TimePoint now) {
  auto number = static_cast<std::size_t>(request.attempt);
  // An attempt is written a second time if its store had lost the prepared statements that it
  // needs. It didn't run the first time, so that send must not count as an earlier one.
  TimePoint& sentAt = statement.attempts[number].sentAt;
  sentAt = kNever;
  invariants::AttemptToSend attempt{
      .workload = statement.workload,
      .store = request.store,
      .isOpen = statement.isOpen,
      .isClientGone = statement.isOpen && statement.sink->isClientGone(),
      .isCancelled = request.isCancelled,
      .deadline = request.deadline,
      .sendBy = request.sendBy,
  };
  invariants::Refusal refusal = guard_.refusalToSend(attempt, statement.attempts, now);
  if (refusal == invariants::Refusal::none) {
    sentAt = now;
    return true;
  }
  ++refusedCounts_[static_cast<std::size_t>(refusal)];
  log::line("attempt_refused", "id=%s store=%d attempt=%zu why=%s", statement.id.c_str(),
            request.store, number, invariants::nameOf(refusal));
  return false;
}

}  // namespace reedchute::pipeline

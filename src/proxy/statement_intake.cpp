#include "proxy/statement_intake.h"

#include <utility>

#include "log/log.h"
#include "proxy/resource_limits.h"

namespace reedchute::proxy {

int StatementIntake::admit(request::ReceivedStatement received, request::ResponseSink& sink,
                           int requestId) {
  ++counters_.taken;
  // Statements with long responses would together take more memory than there is.
  std::size_t cost = pipeline::StatementTable::costOf(received.payload->size());
  if (statements_.held() + cost > statementMemory(config_)) {
    log::line("statement_memory_limit", "bytes=%zu open=%zu", statements_.held(),
              statements_.openCount());
    sink.rejected(requestId, Duration{});
    return -1;
  }
  // A client that waits for a response may send a further statement during the shutdown; the
  // process could be killed before that has its own.
  if (!takes(received.came)) {
    log::line("rejected_draining", "open=%zu", statements_.openCount());
    sink.rejected(requestId, Duration{});
    return -1;
  }
  if (ledger_ && !ledger_->admits()) {
    log::line("ledger_refuses", "open=%zu", statements_.openCount());
    sink.rejected(requestId, config_.engineSettings.connectTimeout);
    return -1;
  }
  received.arrival.giveUpAt = received.came + received.timeout;
  return admission_.admit(std::move(received), sink, requestId, scheduler_.now());
}

bool StatementIntake::roomy() const {
  return statements_.held() * 2 < statementMemory(config_);
}

// A client also leaves because its response never came; that one has not left before its time.
void StatementIntake::left(int statement) {
  const pipeline::Statement& row = statements_.row(statement);
  TimePoint now = scheduler_.now();
  if (row.open && now <= row.giveUpAt + request::kStillOwed)
    ++counters_.gone;
  else if (row.open)
    log::line("left_unanswered", "id=%s late_ms=%lld waited_ms=%lld", row.id.c_str(),
              static_cast<long long>((now - row.giveUpAt).us / 1000),
              static_cast<long long>((now - row.came).us / 1000));
  admission_.withdraw(statement, now);
  statements_.touch();
}

}  // namespace reedchute::proxy

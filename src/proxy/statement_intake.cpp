#include "proxy/statement_intake.h"

#include <utility>

#include "log/log.h"
#include "proxy/resource_limits.h"

namespace reedchute::proxy {

int StatementIntake::admit(request::ReceivedStatement received, request::ResponseSink& sink,
                           int requestId) {
  ++counters_.received;
  // Memory is reserved in advance, because the responses of all open statements could otherwise use
  // more memory than allowed.
  std::size_t reservation = pipeline::StatementTable::reservationFor(received.payload->size());
  if (statements_.reservedBytes() + reservation > statementMemory(config_)) {
    log::line("statement_memory_limit", "bytes=%zu open=%zu", statements_.reservedBytes(),
              statements_.openCount());
    sink.onRejected(requestId, Duration{});
    return -1;
  }
  // A client that waits for a response may send another statement during the shutdown, and the
  // process could be killed before answering it.
  if (!acceptsReceivedAt(received.receivedAt)) {
    log::line("rejected_draining", "open=%zu", statements_.openCount());
    sink.onRejected(requestId, Duration{});
    return -1;
  }
  if (ledger_ && !ledger_->acceptsStatements()) {
    log::line("ledger_refuses", "open=%zu", statements_.openCount());
    sink.onRejected(requestId, config_.engineSettings.connectTimeout);
    return -1;
  }
  received.arrival.giveUpAt = received.receivedAt + received.timeout;
  return admission_.admit(std::move(received), sink, requestId, scheduler_.now());
}

bool StatementIntake::hasCapacity() const {
  return statements_.reservedBytes() * 2 < statementMemory(config_);
}

// A client that disconnects later than kLateAnswerGrace after the deadline has left because it
// received no response. It isn't counted in clientGone, so that the statement is logged as missing.
void StatementIntake::onClientLeft(int statement) {
  const pipeline::Statement& row = statements_.at(statement);
  TimePoint now = scheduler_.now();
  if (row.isOpen && now <= row.deadline + request::kLateAnswerGrace)
    ++counters_.clientGone;
  else if (row.isOpen)
    log::line("left_unanswered", "id=%s late_ms=%lld waited_ms=%lld", row.id.c_str(),
              static_cast<long long>((now - row.deadline).us / 1000),
              static_cast<long long>((now - row.admittedAt).us / 1000));
  admission_.withdraw(statement, now);
  rounds_.request();
}

}  // namespace reedchute::proxy

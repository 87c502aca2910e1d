#include "pipeline/admission.h"

#include <utility>

namespace reedchute::pipeline {

int Admission::admit(request::ReceivedStatement received, request::ResponseSink& sink,
                     int requestId, TimePoint now) {
  Statement statement;
  statement.sink = &sink;
  statement.requestId = requestId;
  statement.id = std::move(received.id);
  statement.version = received.version;
  statement.payload = std::move(received.payload);
  statement.workload = received.arrival.workload;
  statement.group = received.arrival.group;
  statement.tenant = std::move(received.tenant);
  statement.idempotencyKey = received.idempotencyKey;
  statement.precedingPosition = received.precedingPosition;
  statement.admittedAt = now;
  statement.deadline = received.arrival.giveUpAt;
  statement.isOpen = true;
  int index = statements_.add(std::move(statement));
  rounds_.request();
  engine_.onStatementArrived(index, received.arrival, now);
  return index;
}

void Admission::withdraw(int index, TimePoint now) {
  Statement& statement = statements_.at(index);
  if (!statement.isOpen) return;
  statement.clientGoneAt = now;
  engine_.onClientClosed(index);
  statements_.close(index);
}

}  // namespace reedchute::pipeline

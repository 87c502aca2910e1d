#include "pipeline/admission.h"

#include <utility>

namespace reedchute::pipeline {

int Admission::admit(request::ReceivedStatement taken, request::ResponseSink& sink, int requestId,
                     TimePoint now) {
  Statement st;
  st.sink = &sink;
  st.requestId = requestId;
  st.id = std::move(taken.id);
  st.version = taken.version;
  st.payload = std::move(taken.payload);
  st.workload = taken.arrival.workload, st.group = taken.arrival.group;
  st.tenant = std::move(taken.tenant), st.idempotencyKey = taken.idempotencyKey;
  st.deadline = taken.arrival.giveUpAt;
  st.admittedAt = now;
  st.isOpen = true;
  int statement = statements_.add(std::move(st));
  engine_.onStatementArrived(statement, taken.arrival, now);
  return statement;
}

void Admission::withdraw(int statement, TimePoint now) {
  Statement& st = statements_.at(statement);
  if (!st.isOpen) return;
  st.clientGoneAt = now;
  engine_.onClientClosed(statement);
  statements_.close(statement);
}

}  // namespace reedchute::pipeline

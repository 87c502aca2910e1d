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
  st.tenant = std::move(taken.tenant), st.mark = taken.mark;
  st.giveUpAt = taken.arrival.giveUpAt;
  st.came = now;
  st.open = true;
  int statement = statements_.enter(std::move(st));
  engine_.onStatementArrived(statement, taken.arrival, now);
  return statement;
}

void Admission::withdraw(int statement, TimePoint now) {
  Statement& st = statements_.row(statement);
  if (!st.open) return;
  st.clientLeftAt = now;
  engine_.onClientClosed(statement);
  statements_.close(statement);
}

}  // namespace reedchute::pipeline

#include "stages/admit.h"

#include <utility>

namespace reedchute::stages {

int Admit::admit(exchange::Taken taken, exchange::Asker& asker, int ticket, TimePoint now) {
  Statement st;
  st.asker = &asker;
  st.ticket = ticket;
  st.id = std::move(taken.id);
  st.speech = taken.speech;
  st.request = std::move(taken.request);
  st.workload = taken.arrival.workload, st.group = taken.arrival.group;
  st.tenant = std::move(taken.tenant), st.mark = taken.mark;
  st.giveUpAt = taken.arrival.giveUpAt;
  st.came = now;
  st.open = true;
  int stmt = book_.enter(std::move(st));
  rules_.arrived(stmt, taken.arrival, now);
  return stmt;
}

void Admit::withdraw(int stmt, TimePoint now) {
  Statement& st = book_.row(stmt);
  if (!st.open) return;
  st.clientLeftAt = now;
  rules_.gone(stmt);
  book_.close(stmt);
}

}  // namespace reedchute::stages

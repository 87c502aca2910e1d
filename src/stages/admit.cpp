#include "stages/admit.h"

#include <utility>

namespace reedchute::stages {

int Admit::admit(Taken taken, Asker& asker, TimePoint now) {
  taken.statement.asker = &asker;
  taken.statement.open = true;
  int stmt = book_.enter(std::move(taken.statement));
  rules_.arrived(stmt, taken.arrival, now);
  return stmt;
}

void Admit::withdraw(int stmt) {
  Statement& st = book_.row(stmt);
  if (!st.open) return;
  rules_.gone(stmt);
  book_.close(stmt);
}

}  // namespace reedchute::stages

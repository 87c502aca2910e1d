#include "pipeline/statement_table.h"

#include <algorithm>
#include <utility>

namespace reedchute::pipeline {

int StatementTable::allocateRow() {
  if (freeRows_.empty()) {
    rows_.emplace_back();
    return static_cast<int>(rows_.size()) - 1;
  }
  int index = freeRows_.back();
  freeRows_.pop_back();
  return index;
}

int StatementTable::add(Statement statement) {
  if (!statement.id.empty()) openIds_.insert(statement.id);
  reservedBytes_ += reservationFor(statement.payload->size());
  ++openCount_;
  int index = allocateRow();
  at(index) = std::move(statement);
  return index;
}

void StatementTable::close(int index) {
  Statement& statement = at(index);
  if (!statement.isOpen) return;
  statement.isOpen = false;
  statement.sink = nullptr;
  openIds_.erase(statement.id);
  --openCount_;
  releaseIfEnded(index);
}

void StatementTable::releaseIfEnded(int index) {
  const Statement& statement = at(index);
  if (!statement.isOpen && statement.outstandingAttempts == 0) releasedRows_.push_back(index);
}

void StatementTable::onRoundEnded() {
  for (int index : releasedRows_) {
    reservedBytes_ -= reservationFor(at(index).payload->size());
    at(index) = {};
    freeRows_.push_back(index);
  }
  releasedRows_.clear();
}

bool StatementTable::refersToStore(int store) const {
  auto isToStore = [&](const invariants::EarlierAttempt& attempt) {
    return attempt.store == store;
  };
  return std::any_of(rows_.begin(), rows_.end(), [&](const Statement& statement) {
    return std::any_of(statement.attempts.begin(), statement.attempts.end(), isToStore);
  });
}

}  // namespace reedchute::pipeline

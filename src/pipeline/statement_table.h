// The statements in hand, by index. A row lives from the statement's admission until it is closed
// and its last attempt has ended, and on to the end of the decision round that saw it.
#pragma once

#include <cstddef>
#include <vector>

#include "pipeline/statement.h"
#include "request/open_statement_ids.h"

namespace reedchute::pipeline {

class StatementTable {
 public:
  // Returns the statement's index.
  int add(Statement statement);
  Statement& at(int index) { return rows_[static_cast<std::size_t>(index)]; }
  const Statement& at(int index) const { return rows_[static_cast<std::size_t>(index)]; }
  // The statement has its final response, or nobody to give it to.
  void close(int index);
  // Called when an attempt has ended: the row is released once nothing of it is outstanding.
  void releaseIfEnded(int index);
  // Makes released rows available again. A row that were reused within the round would mix the
  // facts of two statements in the engine.
  void onRoundEnded();

  bool refersToStore(int store) const;
  std::size_t openCount() const { return openCount_; }
  const request::OpenStatementIds& openIds() const { return openIds_; }
  // Bytes set aside for the rows in use.
  std::size_t reservedBytes() const { return reservedBytes_; }
  // Bytes to set aside for one statement: its payload as received and as sent, and its response.
  static std::size_t reservationFor(std::size_t payloadBytes) {
    return 2 * payloadBytes + kMaxResponseBytes;
  }

 private:
  static constexpr std::size_t kMaxResponseBytes = 128 * 1024;

  int takeFreeRow();

  std::vector<Statement> rows_;
  std::vector<int> freeRows_;
  std::vector<int> releasedRows_;  // free from the end of the round
  request::OpenStatementIds openIds_;
  std::size_t openCount_ = 0;
  std::size_t reservedBytes_ = 0;
};

}  // namespace reedchute::pipeline

// The statements in flight, by index. A row is in use from the statement's admission until the
// statement is closed, its last attempt has ended and the current decision round is over.
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
  // Closes a statement after its final response, or after its client disconnected. No effect on a
  // closed statement.
  void close(int index);
  // Called when an attempt has ended. Releases the row if the statement is closed and no attempt is
  // outstanding.
  void releaseIfEnded(int index);
  // Makes released rows available for reuse. Reuse within a round would let the engine confuse the
  // events of two statements.
  void onRoundEnded();

  // Whether any statement in the table has an attempt, ended or not, at the store.
  bool refersToStore(int store) const;
  std::size_t openCount() const { return openCount_; }
  const request::OpenStatementIds& openIds() const { return openIds_; }
  // Memory reserved for the rows in use, in bytes.
  std::size_t reservedBytes() const { return reservedBytes_; }
  // Bytes to reserve for one statement: its payload as received and as sent, and its response.
  static std::size_t reservationFor(std::size_t payloadBytes) {
    return 2 * payloadBytes + kMaxResponseBytes;
  }

 private:
  static constexpr std::size_t kMaxResponseBytes = 128 * 1024;

  // Returns the index of an unused row, adding one if there is none.
  int allocateRow();

  std::vector<Statement> rows_;
  std::vector<int> freeRows_;
  std::vector<int> releasedRows_;  // reusable after the current round
  request::OpenStatementIds openIds_;
  std::size_t openCount_ = 0;
  std::size_t reservedBytes_ = 0;
};

}  // namespace reedchute::pipeline

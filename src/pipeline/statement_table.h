// Stage 6, book: the rows of statements, and what the module is told of the end of each execution
// and probe.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "decision/engine.h"
#include "pipeline/responder.h"
#include "pipeline/statement.h"
#include "request/attempt_owner.h"
#include "request/open_statement_ids.h"
#include "runtime/scheduler.h"

namespace reedchute::pipeline {

class StatementTable : public request::AttemptOwner {
 public:
  StatementTable(runtime::Scheduler& s, DecisionEngine& engine, Responder& responder,
                 const EngineSettings& settings)
      : scheduler_(s),
        engine_(engine),
        responder_(responder),
        settings_(settings),
        guard_(settings) {}

  int add(Statement st);
  Statement& at(int statement) { return rows_[static_cast<std::size_t>(statement)]; }
  // It has its final answer, or nobody to give it to; its row is free once nothing is out.
  void close(int statement);
  // Rows whose last fact the module has seen in a round can be used again.
  void onRoundEnded();
  // Does a row that is in use name this store?
  bool refersToStore(int store) const;
  // Bytes set aside for the rows in use: a statement as it came and as it is sent, and its answer.
  std::size_t reservedBytes() const { return reservedBytes_; }
  static std::size_t reservationFor(std::size_t size) { return 2 * size + kMostAnswer; }
  std::size_t openCount() const { return open_; }
  const request::OpenStatementIds& openIds() const { return openIds_; }
  // Has the module been told anything since the last round?
  bool isRoundRequested() const { return roundRequested_; }
  void requestRound();

  invariants::AttemptGuard& guard() { return guard_; }
  // Attempts that were refused as they were to leave, since the start.
  std::uint64_t refusedCount(invariants::Refusal why) const {
    return refused_[static_cast<std::size_t>(why)];
  }

  bool isWanted(const request::UpstreamRequest& job) const override;
  bool maySend(const request::UpstreamRequest& job, TimePoint now) override;
  void onRequestEnded(request::UpstreamRequest& job) override;

 private:
  static constexpr std::size_t kMostAnswer = 128 * 1024;

  void offer(int statement);
  void noteEnd(const request::UpstreamRequest& job, Statement& st);
  void checkDeparture(const request::UpstreamRequest& job, const Statement& st) const;

  runtime::Scheduler& scheduler_;
  DecisionEngine& engine_;
  Responder& responder_;
  const EngineSettings& settings_;
  invariants::AttemptGuard guard_;
  std::array<std::uint64_t, static_cast<std::size_t>(invariants::Refusal::count)> refused_{};
  std::vector<Statement> rows_;
  std::vector<int> free_, leaving_;
  request::OpenStatementIds openIds_;
  std::size_t open_ = 0;
  std::size_t reservedBytes_ = 0;
  bool roundRequested_ = false;
};

}  // namespace reedchute::pipeline

// Stage 6, book: the rows of statements, and what the module is told of the end of each execution
// and probe.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "decision/engine.h"
#include "pipeline/responder.h"
#include "request/statement.h"
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

  int enter(Statement st);
  Statement& row(int statement) { return rows_[static_cast<std::size_t>(statement)]; }
  // It has its final answer, or nobody to give it to; its row is free once nothing is out.
  void close(int statement);
  // Rows whose last fact the module has seen in a round can be used again.
  void roundEnded();
  // Does a row that is in use name this store?
  bool names(int store) const;
  // Bytes set aside for the rows in use: a statement as it came and as it is sent, and its answer.
  std::size_t held() const { return held_; }
  static std::size_t costOf(std::size_t size) { return 2 * size + kMostAnswer; }
  std::size_t openCount() const { return open_; }
  const request::OpenIds& openIds() const { return openIds_; }
  // Has the module been told anything since the last round?
  bool touched() const { return touched_; }
  void touch();

  invariants::AttemptGuard& guard() { return guard_; }
  // Attempts that were refused as they were to leave, since the start.
  std::uint64_t refused(invariants::Refusal why) const {
    return refused_[static_cast<std::size_t>(why)];
  }

  bool wanted(const request::UpstreamRequest& job) const override;
  bool mayLeave(const request::UpstreamRequest& job, TimePoint now) override;
  void ended(request::UpstreamRequest& job) override;

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
  request::OpenIds openIds_;
  std::size_t open_ = 0;
  std::size_t held_ = 0;
  bool touched_ = false;
};

}  // namespace reedchute::pipeline

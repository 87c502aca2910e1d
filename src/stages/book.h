// Stage 6, book: the rows of statements, and what the module is told of the end of each execution and probe.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "rules.h"
#include "sched/scheduler.h"
#include "stages/relay.h"
#include "stages/statement.h"

namespace reedchute::stages {

class Book : public exchange::Giver {
 public:
  Book(sched::Scheduler& s, Rules& rules, Relay& relay, const Terms& terms)
      : scheduler_(s), rules_(rules), relay_(relay), terms_(terms), guard_(terms) {}

  int enter(Statement st);
  Statement& row(int stmt) { return rows_[static_cast<std::size_t>(stmt)]; }
  // It has its final answer, or nobody to give it to; its row is free once nothing is out.
  void close(int stmt);
  // Rows whose last fact the module has seen in a round can be used again.
  void roundEnded();
  // Does a row that is in use name this store?
  bool names(int store) const;
  // Bytes set aside for the rows in use: a statement as it came and as it is sent, and its answer.
  std::size_t held() const { return held_; }
  static std::size_t costOf(std::size_t size) { return 2 * size + kMostAnswer; }
  std::size_t openCount() const { return open_; }
  const exchange::OpenIds& openIds() const { return openIds_; }
  // Has the module been told anything since the last round?
  bool touched() const { return touched_; }
  void touch();

  guard::AttemptGuard& guard() { return guard_; }
  // Attempts that were refused as they were to leave, since the start.
  std::uint64_t refused(guard::Refusal why) const { return refused_[static_cast<std::size_t>(why)]; }

  bool wanted(const exchange::Job& job) const override;
  bool mayLeave(const exchange::Job& job, TimePoint now) override;
  void ended(exchange::Job& job) override;

 private:
  static constexpr std::size_t kMostAnswer = 128 * 1024;

  void offer(int stmt);
  void noteEnd(const exchange::Job& job, Statement& st);
  void checkDeparture(const exchange::Job& job, const Statement& st) const;

  sched::Scheduler& scheduler_;
  Rules& rules_;
  Relay& relay_;
  const Terms& terms_;
  guard::AttemptGuard guard_;
  std::array<std::uint64_t, static_cast<std::size_t>(guard::Refusal::count)> refused_{};
  std::vector<Statement> rows_;
  std::vector<int> free_, leaving_;
  exchange::OpenIds openIds_;
  std::size_t open_ = 0;
  std::size_t held_ = 0;
  bool touched_ = false;
};

}  // namespace reedchute::stages

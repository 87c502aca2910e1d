// One simulated proxy: its decision engine, and the maps between the wire's ids and the engine's
// indices. Writes the engine's decisions as lines of the wire.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "base/id_index.h"
#include "config/engine_settings.h"
#include "decision/engine.h"

namespace reedchute::simulator {

class Instance : public DecisionSink {
 public:
  // Throws InvalidInput or std::invalid_argument where the settings can't be used.
  Instance(int number, const PlatformSettings& settings, std::uint64_t seed, TimePoint now);

  DecisionEngine& engine() { return *engine_; }

  // Gives a statement that has arrived its index.
  int open(std::uint64_t id);
  // The statement has its final answer, or its client has left.
  void close(int statement);
  bool isClosed(int statement) const { return stateOf(statement).isClosed; }
  int sentAttempts(int statement) const { return stateOf(statement).sent; }
  // An attempt of the statement has ended.
  void onAttemptEnded(int statement, const AttemptResult& result, TimePoint now);

  // Ends a batch: appends the engine's decisions to `reply`.
  void decide(TimePoint now, std::string& reply);
  // Appends a fault of this instance to `reply`.
  void writeFault(std::string& reply, std::string message);

  // A time that the wire tells as a span since the origin.
  TimePoint timeAt(Duration sinceOrigin) const { return origin_ + sinceOrigin; }

  IdIndex<std::string> stores;
  IdIndex<std::uint64_t> statements;
  IdIndex<std::int64_t> groups;
  Names names;

 private:
  // The index of a statement is free again once it is closed and no attempt is pending.
  struct StatementState {
    int pending = 0;
    int sent = 0;
    bool isClosed = false;
    bool releaseQueued = false;
  };

  void send(int statement, int store, TimePoint stopAt, TimePoint sendBy) override;
  void cancel(int statement, int attempt) override;
  void reject(int statement, Duration retryAfter) override;
  void abort(int statement) override;
  void probe(int store) override;
  void release(int store) override;
  void pollEndpoints() override;
  void wake(Duration after) override;

  StatementState& stateOf(int statement) { return states_[static_cast<std::size_t>(statement)]; }
  const StatementState& stateOf(int statement) const {
    return states_[static_cast<std::size_t>(statement)];
  }
  void releaseIfDone(int statement);

  Instance& begin(const char* message);
  template <class T>
  Instance& add(const T& value) {
    reply_->push_back('\t');
    if constexpr (std::is_integral_v<T>)
      reply_->append(std::to_string(value));
    else
      reply_->append(value);
    return *this;
  }
  void end() { reply_->push_back('\n'); }

  int number_;
  TimePoint origin_;
  std::unique_ptr<DecisionEngine> engine_;
  std::string* reply_ = nullptr;  // while decisions are written
  std::vector<StatementState> states_;
  std::vector<int> released_;  // statements whose index is free after this batch
};

}  // namespace reedchute::simulator

// A simulated proxy: a decision engine, and the mapping between the ids of the simulator's protocol
// and the engine's indices. Writes the engine's decisions as protocol lines.
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
  // Throws InvalidInput or std::invalid_argument if the settings are invalid.
  Instance(int number, const PlatformSettings& settings, std::uint64_t seed, TimePoint now);

  DecisionEngine& engine() { return *engine_; }

  // Registers a new statement and returns its index.
  int open(std::uint64_t id);
  // Closes a statement that has its final answer or whose client has disconnected.
  void close(int statement);
  bool isClosed(int statement) const { return stateOf(statement).isClosed; }
  int sentAttempts(int statement) const { return stateOf(statement).sent; }
  void onAttemptEnded(int statement, const AttemptResult& result, TimePoint now);

  // Runs the engine's decision pass at the end of a batch and appends its decisions to `reply`.
  void decide(TimePoint now, std::string& reply);
  // Appends INTERNAL_ERROR with `message` to `reply`.
  void writeFault(std::string& reply, std::string message);

  // The time point that the protocol states as a duration since extra.origin_time.
  TimePoint timeAt(Duration sinceOrigin) const { return origin_ + sinceOrigin; }

  IdIndex<std::string> stores;
  IdIndex<std::uint64_t> statements;
  IdIndex<std::int64_t> groups;
  Names names;

 private:
  // A statement's index can be reused once the statement is closed and none of its attempts is
  // pending.
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

  // begin(), add() and end() write one line of the reply.
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
  std::string* reply_ = nullptr;  // set only while lines are written
  std::vector<StatementState> states_;
  std::vector<int> released_;  // statements whose index is freed at the end of this batch
};

}  // namespace reedchute::simulator

#include "simulator/instance.h"

#include <algorithm>

namespace reedchute::simulator {
namespace {

// Upper bound of the delay in SLEEP.
constexpr Duration kMaxSleep{71LL * 60 * 1'000'000};

}  // namespace

Instance::Instance(int number, const PlatformSettings& settings, std::uint64_t seed, TimePoint now)
    : number_(number), origin_{settings.integer("extra.origin_time")} {
  engine_ = std::make_unique<DecisionEngine>(engineSettingsFrom(settings, seed, names), now);
}

int Instance::open(std::uint64_t id) {
  int statement = statements.add(id);
  std::size_t index = static_cast<std::size_t>(statement);
  if (states_.size() <= index) states_.resize(index + 1);
  states_[index] = {};
  return statement;
}

void Instance::close(int statement) {
  stateOf(statement).isClosed = true;
  releaseIfDone(statement);
}

void Instance::onAttemptEnded(int statement, const AttemptResult& result, TimePoint now) {
  --stateOf(statement).pending;
  engine_->onAttemptEnded(statement, result, now);
  if (result.closed) stateOf(statement).isClosed = true;
  releaseIfDone(statement);
}

void Instance::releaseIfDone(int statement) {
  StatementState& state = stateOf(statement);
  if (!state.isClosed || state.pending > 0 || state.releaseQueued) return;
  state.releaseQueued = true;
  released_.push_back(statement);
}

void Instance::decide(TimePoint now, std::string& reply) {
  reply_ = &reply;
  engine_->decide(now, *this);
  for (int statement : released_) statements.release(statement);
  released_.clear();
  reply_ = nullptr;
}

void Instance::writeFault(std::string& reply, std::string message) {
  reply_ = &reply;
  auto isSeparator = [](char c) { return c == '\t' || c == '\n'; };
  std::replace_if(message.begin(), message.end(), isSeparator, ' ');
  begin("INTERNAL_ERROR").add(message).end();
  reply_ = nullptr;
}

// The simulator sends attempts immediately, so the limit `sendBy` is always met.
void Instance::send(int statement, int store, TimePoint stopAt, TimePoint /*sendBy*/) {
  StatementState& state = stateOf(statement);
  ++state.pending;
  ++state.sent;
  begin("SUBMIT_TO").add(statements.id(statement)).add(stores.id(store)).add(stopAt.us).end();
}

void Instance::cancel(int statement, int attempt) {
  begin("STOP_ATTEMPT").add(statements.id(statement)).add(attempt).end();
}

void Instance::reject(int statement, Duration retryAfter) {
  begin("OVERLOAD_REPLY").add(statements.id(statement)).add(retryAfter.us).end();
  close(statement);
}

void Instance::abort(int statement) {
  begin("GIVE_UP").add(statements.id(statement)).end();
  close(statement);
}

void Instance::probe(int store) {
  begin("POLL").add(stores.id(store)).end();
}

void Instance::release(int store) {
  begin("RELEASE").add(stores.id(store)).end();
}

void Instance::pollEndpoints() {
  begin("OBSERVE").add(1).end();
}

void Instance::wake(Duration after) {
  begin("SLEEP").add(1).add(std::min(after, kMaxSleep).us).end();
}

Instance& Instance::begin(const char* message) {
  reply_->append(message).append("\t").append(std::to_string(number_));
  return *this;
}

}  // namespace reedchute::simulator

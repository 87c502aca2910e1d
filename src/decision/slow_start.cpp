#include "decision/slow_start.h"

#include <algorithm>

#include "decision/indexed_array.h"

namespace reedchute {
namespace {

constexpr double kOverloadHeadroom = 0.8;  // fraction of coldOverloadMultiple that is used
constexpr double kBurstShare = 0.25;       // fraction of coldOverloadWindow

}  // namespace

SlowStart::SlowStart(const EngineSettings& settings, const ClockSkew& skew, Duration rateMemory)
    : settings_(settings), skew_(skew), rateMemory_(rateMemory) {}

void SlowStart::reset(int store, TimePoint now) {
  assignAt(starts_, store, Start{});
  assignAt(budget_, store, 0.0);
  assignAt(filledAt_, store, now);
}

void SlowStart::ensureGroup(int group) {
  ensureIndex(groupWork_, group);
}

bool SlowStart::onListedStart(int store, TimePoint listedAt, RandomSource& random, TimePoint now) {
  Start& start = starts_[store];
  if (listedAt <= start.listedAt) return false;
  start.listedAt = listedAt;
  start.receivedAt = now;
  if (startedAt(store) <= start.observedAt) return false;
  resetBudget(store, random, now);
  return true;
}

void SlowStart::onObservedStart(int store, RandomSource& random, TimePoint now) {
  starts_[store].observedAt = now;
  resetBudget(store, random, now);
}

// Hundreds of proxies, each with a budget below one statement, would otherwise send their first
// statement at the same time. Each starts with a negative budget, a random fraction of one
// statement, so that together they send no more than they have earned.
void SlowStart::resetBudget(int store, RandomSource& random, TimePoint now) {
  filledAt_[store] = now;
  budget_[store] = -drawUnit(random);
}

TimePoint SlowStart::startedAt(int store) const {
  const Start& start = starts_[store];
  if (start.listedAt == kNever) return start.observedAt;
  TimePoint listed = start.listedAt;
  if (settings_.listedStartsNeedProof) {
    std::optional<Duration> ahead = skew_.mostAhead();
    listed = ahead ? start.listedAt + *ahead : start.receivedAt;
  }
  return std::max(std::min(listed, start.receivedAt), start.observedAt);
}

// Listed starts are stored by the wall clock as it is now, so they move with it.
void SlowStart::onClockStepped(Duration ahead) {
  for (Start& start : starts_)
    if (start.listedAt > kNever) start.listedAt = start.listedAt - ahead;
}

double SlowStart::coldShare(int store, TimePoint now) const {
  double age = std::max(0.0, (now - startedAt(store)) / settings_.warmUpTime);
  return settings_.coldInitialShare + (1 - settings_.coldInitialShare) * age;
}

bool SlowStart::hasBudget(int store, TimePoint now) const {
  return isWarm(store, now) || budget_[store] > 0;
}

void SlowStart::onStatementArrived(int group, Duration work, TimePoint now) {
  groupWork_[group].add(work.seconds(), rateMemory_, now);
}

void SlowStart::onSent(int store, double statements, TimePoint now) {
  if (!isWarm(store, now)) budget_[store] -= statements;
}

// Proxies don't know each other's traffic. Each limits itself to its own share, computed from the
// mean work offered to a member of the group over rateMemory_; with light traffic the last
// statement alone would say little.
void SlowStart::refill(int store, int group, int groupSize, double meanWork, TimePoint now) {
  double warm = warmth(store, now);
  double members = std::max<double>(1, static_cast<double>(groupSize));
  double offered = groupWork_[group].at(rateMemory_, now);
  double rate = settings_.coldOverloadMultiple * kOverloadHeadroom * warm * offered /
                (members * meanWork);
  double filled = budget_[store] + rate * (now - filledAt_[store]).seconds();
  budget_[store] = std::min(filled, rate * settings_.coldOverloadWindow.seconds() * kBurstShare);
  filledAt_[store] = now;
}

}  // namespace reedchute

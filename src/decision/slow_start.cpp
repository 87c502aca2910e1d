#include "decision/slow_start.h"

#include <algorithm>

#include "decision/indexed_array.h"

namespace reedchute {
namespace {

constexpr double kOverloadHeadroom = 0.8;  // of the multiple at which a cold store falls over
constexpr double kBurstShare = 0.25;       // of the window in which overload is judged

}  // namespace

SlowStart::SlowStart(const EngineSettings& settings, Duration rateMemory)
    : settings_(settings), rateMemory_(rateMemory) {}

void SlowStart::reset(int store, TimePoint now) {
  assignAt(startedAt_, store, kNever);
  assignAt(budget_, store, 0.0);
  assignAt(filledAt_, store, now);
}

void SlowStart::ensureGroup(int group) {
  ensureIndex(groupWork_, group);
}

// Hundreds of proxies, each with a budget below one statement, would send their first statement at
// the same time. Each starts in debt by a random part of one statement, so that together they send
// what they have earned.
bool SlowStart::begin(int store, TimePoint startedAt, RandomSource& random, TimePoint now) {
  if (startedAt <= startedAt_[store]) return false;
  startedAt_[store] = startedAt;
  filledAt_[store] = now;
  budget_[store] = -drawUnit(random);
  return true;
}

double SlowStart::coldShare(int store, TimePoint now) const {
  double age = std::max(0.0, (now - startedAt_[store]) / settings_.warmUpTime);
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

// Proxies don't see one another. Each keeps to its own part, which it takes from the usual work of
// a member of the group; the last statement alone says little where traffic is light.
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

#include "decision/slow_start.h"

#include <algorithm>
#include <cmath>

#include "decision/indexed_array.h"

namespace reedchute {
namespace {

constexpr double kUsedShare = 0.85;      // of coldOverloadMultiple; connections cost work too
constexpr double kMaxSteadyShare = 1.7;  // of what its warmth entitles a store to
constexpr double kHeldWeight = 0.25;     // of one use or expiry in the mean time of holding
constexpr double kMaxHeldWindows = 2;
constexpr double kMinLifetime = 0.1;     // windows, of unused budget
constexpr double kLifetimeMultiple = 2;  // mean times of holding, of unused budget
constexpr double kHeldPart = 0.5;        // of the lifetime, for which budget is held in the mean
constexpr double kMinFleetShare = 1;     // statements in a window from all processes together
constexpr double kLargestShare = 0.5;    // of the random variation of a window
constexpr double kMinLargest = 2;        // statements of mean work

}  // namespace

SlowStart::SlowStart(const EngineSettings& settings, const ClockSkew& skew)
    : settings_(settings), skew_(skew) {}

void SlowStart::reset(int store, TimePoint now) {
  assignAt(starts_, store, Start{});
  assignAt(budget_, store, 0.0);
  assignAt(filledAt_, store, now);
  assignAt(earningSince_, store, now);
  assignAt(warmRate_, store, WarmRate{});
  assignAt(heldWindows_, store, kMaxHeldWindows);
  assignAt(allowances_, store, Allowance{});
  assignAt(totals_, store, Totals{});
}

bool SlowStart::onListedStart(int store, TimePoint listedAt, double debt, TimePoint now) {
  Start& start = starts_[store];
  if (listedAt <= start.listedAt) return false;
  bool wasWarm = isWarm(store, now);
  start.listedAt = listedAt;
  start.receivedAt = now;
  if (startedAt(store) <= start.observedAt) return false;
  start.evidence = StartEvidence::listed;
  onStarted(store, wasWarm, debt, now);
  return true;
}

void SlowStart::onObservedStart(int store, StartEvidence evidence, double debt, TimePoint now) {
  bool wasWarm = isWarm(store, now);
  starts_[store].observedAt = now;
  starts_[store].evidence = evidence;
  onStarted(store, wasWarm, debt, now);
}

// Hundreds of processes, each with a budget below one statement, would otherwise send their first
// statement at the same time. Each starts as if it had sent a statement at a random time before, so
// that together they send no more than they earn. A store that was cold already keeps its budget:
// what it was sent before still counts.
void SlowStart::onStarted(int store, bool wasWarm, double debt, TimePoint now) {
  totals_[store] = {.starts = totals_[store].starts + 1};
  if (!wasWarm) return;
  filledAt_[store] = now;
  earningSince_[store] = now;
  budget_[store] = -debt;
  warmRate_[store] = {};
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

// A single attempt with much work may be most of what a cold store bears in a window, and debt is
// only paid back in later windows.
bool SlowStart::mayReceive(int store, double statements, bool hasAlternative, TimePoint now) const {
  if (isWarm(store, now)) return true;
  if (hasAlternative && statements > allowances_[store].largest) return false;
  return budget_[store] > 0;
}

// A process whose budget is mostly negative would rarely choose the store in the short time in
// which it isn't.
double SlowStart::preference(int store, TimePoint now) const {
  if (isWarm(store, now)) return 1;
  double heldShare = std::min(1.0, allowances_[store].atOnce);
  return heldShare > 0 ? 1 / heldShare : 1;
}

void SlowStart::onSent(int store, double statements, TimePoint now) {
  if (isWarm(store, now)) return;
  double window = allowances_[store].perSecond * settings_.coldOverloadWindow.seconds();
  if (window > 0) onHeld(store, std::max(0.0, budget_[store]) / window);
  budget_[store] -= statements;
  totals_[store].sent += statements;
}

// Until budget of the store was used or has expired, it is expected to be held for as long as it
// takes until the next statement of the group arrives.
void SlowStart::expectHeld(int store, double groupRate) {
  double statements = groupRate * settings_.coldOverloadWindow.seconds();
  heldWindows_[store] = statements * kMaxHeldWindows > 1 ? 1 / statements : kMaxHeldWindows;
}

void SlowStart::onHeld(int store, double windows) {
  double& held = heldWindows_[store];
  held = std::min(kMaxHeldWindows, held + (windows - held) * kHeldWeight);
}

std::optional<SlowStartStatus> SlowStart::status(int store, TimePoint now) const {
  if (isWarm(store, now)) return std::nullopt;
  const Totals& totals = totals_[store];
  return SlowStartStatus{.store = store,
                         .evidence = starts_[store].evidence,
                         .startedAt = startedAt(store),
                         .starts = totals.starts,
                         .warmth = warmth(store, now),
                         .allowedPerSecond = allowances_[store].perSecond,
                         .budget = budget_[store],
                         .allowed = totals.allowed,
                         .sent = totals.sent};
}

// In a window, a process sends what it earns in it and what it holds at its beginning, together its
// share. The longer budget is held until a statement uses it, the less of the share is earned.
// Budget above one statement needn't be held, as there is always a statement to use it. Where
// little is held, statements above a replica's usual share only queue at it.
SlowStart::Allowance SlowStart::allowanceFor(int store, bool isPrimary, TimePoint now) const {
  double window = settings_.coldOverloadWindow.seconds();
  double rate = std::max(warmRate_[store].atStart.value_or(0), warmRate_[store].present);
  double usual = warmth(store, now) * rate * window;
  double bearable = settings_.coldOverloadMultiple * usual;
  double leastShare = kMinFleetShare / settings_.proxyCount;
  double share = std::max(leastShare, bearable * kUsedShare);
  double lifetime = std::max(kMinLifetime, heldWindows_[store] * kLifetimeMultiple);
  double holdingOne = share - kHeldPart;
  if (holdingOne > 0) lifetime = std::min(lifetime, 1 / holdingOne);
  double earningWindows = (now - earningSince_[store]) / settings_.coldOverloadWindow;
  double held = std::min(lifetime, earningWindows) * kHeldPart;
  double perWindow = share / (1 + held);
  if (!isPrimary) perWindow = std::min(perWindow, std::max(leastShare, usual * kMaxSteadyShare));
  return {
      .perSecond = perWindow / window,
      .atOnce = perWindow * lifetime,
      // The random variation of a window is the square root of what all processes send in it.
      .largest = std::max(kMinLargest, kLargestShare * std::sqrt(bearable * settings_.proxyCount))};
}

// While statements wait for the cold store, a warm one completes less than it can, so what it
// completed as the store started counts too. The largest rate ever measured would not do: many
// processes that each see a few statements measure high ones by chance.
void SlowStart::refill(int store, const CompletionRates& rates, bool isPrimary, TimePoint now) {
  WarmRate& rate = warmRate_[store];
  rate.present = rates.warmMember;
  if (!rate.atStart) {
    rate.atStart = rates.warmMember;
    expectHeld(store, rates.group);
  }
  allowances_[store] = allowanceFor(store, isPrimary, now);
  const Allowance& allowance = allowances_[store];
  double earned = allowance.perSecond * (now - filledAt_[store]).seconds();
  totals_[store].allowed += earned;
  filledAt_[store] = now;
  double& budget = budget_[store];
  budget += earned;
  if (budget <= allowance.atOnce) return;
  // Whole statements expire, so that processes whose budgets are filled by a quiet time remain
  // spread over the time of a statement.
  budget -= std::ceil(budget - allowance.atOnce);
  double window = settings_.coldOverloadWindow.seconds();
  onHeld(store, allowance.atOnce / (allowance.perSecond * window));
}

}  // namespace reedchute

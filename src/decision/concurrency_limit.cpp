#include "decision/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/indexed_array.h"

namespace reedchute {
namespace {

constexpr double kInitialLimit = 4;       // attempts
constexpr double kInitialLimitOfAll = 8;  // attempts that all proxies start with at a store
constexpr double kSendsAhead = 8;         // usual gaps by which writes may run ahead of a pace
constexpr double kGrowth = 0.3;           // of itself, by which a limit below one grows
constexpr double kCut = 0.7;              // factor
constexpr double kJamCut = kCut * kCut * kCut;  // factor on a limit below one
constexpr double kSlowResponse = 0.3;           // of the SLO time: a slower response cuts the limit
constexpr double kJamMultiple = 2;              // times as slow as a response that cuts the limit
constexpr double kGrowsFrom = 0.5;              // of the limit in use, from which on it grows

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const EngineSettings& settings)
    : settings_(settings),
      initialLimit_(std::min(kInitialLimit, kInitialLimitOfAll / settings.proxyCount)),
      recoveryTarget_(std::min(1.0, initialLimit_)) {}

void ConcurrencyLimit::reset(int store) {
  assignAt(outstanding_, store, 0);
  assignAt(limit_, store, initialLimit_);
  assignAt(nextSendAt_, store, kNever);
  assignAt(cutAt_, store, kNever);
}

// A limit below one spaces sends out in time by the work they bring: some go ahead of their time,
// writes the most; reads at the primary hold back.
bool ConcurrencyLimit::hasCapacity(int store, const CapacityRequest& request, TimePoint now) const {
  double limit = limit_[store];
  double ahead = request.limitShare < 1 ? -1 : 1;
  // Writes run less far ahead of a limit that was cut.
  if (request.mustBeCurrent)
    ahead = std::max(1.0, kSendsAhead * std::min(1.0, limit / initialLimit_));
  double least = limit < 1 && request.mustBeCurrent ? kSendsAhead : 1;
  if (outstanding_[store] >= std::max(least, std::floor(limit * request.limitShare))) return false;
  return limit >= 1 || now + request.typicalTime * (ahead / limit) >= nextSendAt_[store];
}

bool ConcurrencyLimit::hasSpareCapacity(int store, double share, TimePoint now) const {
  if (limit_[store] < 1) return nextSendAt_[store] <= now;
  return outstanding_[store] < limit_[store] * share;
}

bool ConcurrencyLimit::paces(int store, TimePoint now) const {
  return limit_[store] >= 1 || nextSendAt_[store] > now;
}

void ConcurrencyLimit::delayFirstSend(int store, Duration delay, TimePoint now) {
  nextSendAt_[store] = now + delay;
}

void ConcurrencyLimit::onSent(int store, Duration typicalTime, TimePoint now) {
  ++outstanding_[store];
  nextSendAt_[store] = std::max(now, nextSendAt_[store]) + typicalTime * (1 / limit_[store]);
}

void ConcurrencyLimit::onSuccess(int store, const Attempt& attempt, Duration elapsed, Duration slo,
                                 TimePoint now) {
  if (elapsed > slo * kSlowResponse) {
    bool jammed = elapsed > slo * kSlowResponse * kJamMultiple;
    cut(store, attempt.sent, jammed ? CutReason::jammed : CutReason::slow, now);
    return;
  }
  double limit = limit_[store];
  bool isUsed = outstanding_[store] + 1 >= limit * kGrowsFrom;
  if (attempt.isPaced && isUsed) setLimit(store, limit + std::min(limit * kGrowth, 1 / limit), now);
}

// A proxy with light traffic hears of a full or long queue once in seconds, so that an ordinary cut
// would leave the queue standing.
void ConcurrencyLimit::cut(int store, TimePoint sent, CutReason reason, TimePoint now) {
  if (sent < cutAt_[store]) return;
  cutAt_[store] = now;
  double part = reason == CutReason::jammed && limit_[store] < 1 ? kJamCut : kCut;
  setLimit(store, std::max(1.0 / settings_.proxyCount, limit_[store] * part), now);
}

// What was sent ahead of the pace is work; how long it takes follows the pace. Otherwise sends
// ahead of a pace that was cut would hold back others long after the pace has recovered
// (test: paceReturns).
void ConcurrencyLimit::setLimit(int store, double limit, TimePoint now) {
  double before = std::exchange(limit_[store], limit);
  if (nextSendAt_[store] > now)
    nextSendAt_[store] = now + (nextSendAt_[store] - now) * (before / limit);
}

}  // namespace reedchute

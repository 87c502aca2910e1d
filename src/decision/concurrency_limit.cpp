#include "decision/concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/indexed_array.h"

namespace reedchute {
namespace {

constexpr double kInitialLimit = 4;       // attempts
constexpr double kInitialTotalLimit = 8;  // attempts, over all proxies
constexpr double kMaxSendsAhead = 8;      // send intervals by which writes may precede the pacing
constexpr double kGrowth = 0.3;           // fraction of itself by which a limit grows at most
constexpr double kCut = 0.7;              // factor on the limit
constexpr double kOverloadCut = kCut * kCut * kCut;  // factor on a limit below one if overloaded
constexpr double kSlowResponse = 0.3;    // of the SLO time: a slower response cuts the limit
constexpr double kOverloadMultiple = 2;  // multiple of kSlowResponse that shows overload
constexpr double kMinUseToGrow = 0.5;    // fraction of the limit that must be in use for it to grow

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const EngineSettings& settings)
    : settings_(settings),
      initialLimit_(std::min(kInitialLimit, kInitialTotalLimit / settings.proxyCount)),
      recoveryTarget_(std::min(1.0, initialLimit_)) {}

void ConcurrencyLimit::reset(int store) {
  assignAt(outstanding_, store, 0);
  assignAt(limit_, store, initialLimit_);
  assignAt(nextSendAt_, store, kNever);
  assignAt(cutAt_, store, kNever);
}

// A limit below one spaces sends out in time by the work they cause. Some statements may be sent
// before their time, writes the furthest; reads at the primary are sent after it.
bool ConcurrencyLimit::hasCapacity(int store, const CapacityRequest& request, TimePoint now) const {
  double limit = limit_[store];
  double ahead = request.limitShare < 1 ? -1 : 1;
  // Writes may be sent less far ahead if the limit was cut.
  if (request.mustBeCurrent)
    ahead = std::max(1.0, kMaxSendsAhead * std::min(1.0, limit / initialLimit_));
  double least = limit < 1 && request.mustBeCurrent ? kMaxSendsAhead : 1;
  if (outstanding_[store] >= std::max(least, std::floor(limit * request.limitShare))) return false;
  return limit >= 1 || now + request.typicalTime * (ahead / limit) >= nextSendAt_[store];
}

bool ConcurrencyLimit::hasSpareCapacity(int store, double share, TimePoint now) const {
  if (limit_[store] < 1) return nextSendAt_[store] <= now;
  return outstanding_[store] < limit_[store] * share;
}

bool ConcurrencyLimit::isPaced(int store, TimePoint now) const {
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
    bool isOverloaded = elapsed > slo * kSlowResponse * kOverloadMultiple;
    cut(store, attempt.sent, isOverloaded ? CutReason::overloaded : CutReason::slow, now);
    return;
  }
  double limit = limit_[store];
  bool isUsed = outstanding_[store] + 1 >= limit * kMinUseToGrow;
  if (attempt.isPaced && isUsed) setLimit(store, limit + std::min(limit * kGrowth, 1 / limit), now);
}

// A proxy with light traffic receives a sign of a full or long queue only once in several seconds,
// so an ordinary cut would not let the queue drain.
void ConcurrencyLimit::cut(int store, TimePoint sent, CutReason reason, TimePoint now) {
  if (sent < cutAt_[store]) return;
  cutAt_[store] = now;
  double part = reason == CutReason::overloaded && limit_[store] < 1 ? kOverloadCut : kCut;
  setLimit(store, std::max(1.0 / settings_.proxyCount, limit_[store] * part), now);
}

// Statements sent ahead of the pacing are a debt of work; the time to work it off scales with the
// limit. Without this scaling, sends ahead of a limit that was cut would hold back other sends long
// after the limit has recovered (test: paceReturns).
void ConcurrencyLimit::setLimit(int store, double limit, TimePoint now) {
  double before = std::exchange(limit_[store], limit);
  if (nextSendAt_[store] > now)
    nextSendAt_[store] = now + (nextSendAt_[store] - now) * (before / limit);
}

}  // namespace reedchute

#include "decision/outlier_detection.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/indexed_array.h"

namespace reedchute {
namespace {

constexpr double kOutcomeWeight = 0.1;  // of one outcome in a running share
constexpr double kTimeWeight = kOutcomeWeight * 0.5;
constexpr double kShortageShare = 0.06;  // of refused connections: stores have no room for them
constexpr double kFadeTime = 8;          // SLO times after which a bad share is mostly forgotten
constexpr double kOverduePenalty = 0.3;  // of a success rate, for an overdue attempt
constexpr double kMaxEjection = 8;       // connect time-outs

bool showsSuccess(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::ok || outcome == AttemptOutcome::notServedHere ||
         outcome == AttemptOutcome::invalid;
}

}  // namespace

OutlierDetection::OutlierDetection(const EngineSettings& settings, Duration smallestSlo,
                                   bool manyProxies)
    : settings_(settings), smallestSlo_(smallestSlo), manyProxies_(manyProxies) {}

void OutlierDetection::reset(int store, TimePoint now) {
  for (auto* times : {&lastResponse_, &ejectedUntil_, &ejectedAt_, &refusedAt_, &shortageAt_})
    assignAt(*times, store, kNever);
  assignAt(successRate_, store, 1.0);
  assignAt(relativeTime_, store, 1.0);
  assignAt(lastDecay_, store, now);
  assignAt(ejection_, store, Duration{});
  assignAt(connectionRefused_, store, char{0});
  assignAt(unreachable_, store, char{0});
  assignAt(failedProbes_, store, 0);
}

void OutlierDetection::ensureZone(int zone) {
  ensureIndex(zones_, zone);
}

// Quick errors free places fast and would draw more reads; a slow store responds right but late.
double OutlierDetection::weight(int store) const {
  constexpr double kFastest = 0.5;
  constexpr double kSlowest = 10;
  return successRate_[store] * successRate_[store] /
         std::clamp(relativeTime_[store], kFastest, kSlowest);
}

bool OutlierDetection::isRecent(TimePoint failedAt, TimePoint now) const {
  return now - failedAt < settings_.connectTimeout * kMaxEjection;
}

bool OutlierDetection::hasConnectionShortage(int store, TimePoint now) const {
  return now - std::max(fleetShortageAt_, shortageAt_[store]) < settings_.warmUpTime;
}

void OutlierDetection::onAttemptEnded(int store, const AttemptResult& result,
                                      const AttemptContext& context, TimePoint now) {
  AttemptOutcome outcome = result.outcome;
  bool isSuccess = showsSuccess(outcome);
  bool isConnectFailure = outcome == AttemptOutcome::connectFailed;
  // One response that is malformed or cut off is no sign that the process died; but of many proxies
  // each sees no more of a death than that.
  bool isReset = outcome == AttemptOutcome::reset;
  bool isError = outcome == AttemptOutcome::error || outcome == AttemptOutcome::malformedResponse ||
                 (isReset && !manyProxies_);
  if (isSuccess || isError || outcome == AttemptOutcome::overloaded) {
    lastResponse_[store] = now;
    onZoneResult(context.zone, true, now);
  }
  if (isConnectFailure || isReset) onZoneResult(context.zone, false, now);
  refusedShare_ += kTimeWeight * ((isConnectFailure ? 1.0 : 0.0) - refusedShare_);
  if (outcome == AttemptOutcome::ok) {
    onSuccess(store, result.elapsed, context.typicalTime);
  } else if (isError) {
    successRate_[store] -= kOutcomeWeight * successRate_[store];
  } else if (outcome == AttemptOutcome::overloaded) {
    if (context.isIdle) eject(store, EjectionReason::silent, now);
  } else if (isConnectFailure || isReset) {
    onConnectionLost(store, isReset, context.sent, now);
  }
}

void OutlierDetection::onSuccess(int store, Duration elapsed, Duration typicalTime) {
  successRate_[store] += kOutcomeWeight * (1 - successRate_[store]);
  relativeTime_[store] += kTimeWeight * (elapsed / typicalTime - relativeTime_[store]);
}

// What was sent before the last ejection tells nothing new, nor does one connection of a store that
// responds on others.
void OutlierDetection::onConnectionLost(int store, bool wasOpen, TimePoint sent, TimePoint now) {
  if (wasOpen)
    unreachable_[store] = 1;
  else if (manyProxies_)
    shortageAt_[store] = now;
  else if (refusedShare_ > kShortageShare)
    fleetShortageAt_ = now;
  TimePoint lastRefused = std::exchange(refusedAt_[store], now);
  bool isFirst = lastRefused <= lastResponse_[store] && now - lastResponse_[store] < smallestSlo_;
  bool isNews = sent >= ejectedAt_[store] && sent >= lastResponse_[store];
  if (isNews && (!isFirst || manyProxies_)) eject(store, EjectionReason::connectionFailed, now);
}

// A store that answers some statements and leaves others out is neither silent nor full of errors.
void OutlierDetection::onAttemptOverdue(int store, int zone, TimePoint sent, TimePoint now) {
  if (lastResponse_[store] < sent) onZoneResult(zone, false, now);
  successRate_[store] -= kOverduePenalty * successRate_[store];
}

void OutlierDetection::onSent(int store, TimePoint now) {
  if (ejection_[store] > Duration{}) ejectedUntil_[store] = now + ejection_[store];
}

bool OutlierDetection::onProbeFailed(int store, TimePoint now) {
  ++failedProbes_[store];
  bool isConfirmed = failedProbes_[store] > 1 || manyProxies_;
  if (connectionRefused_[store]) {
    if (isConfirmed) unreachable_[store] = 1;
    eject(store, EjectionReason::connectionFailed, now);
  }
  return isConfirmed;
}

// Where a store that runs has no room for connections, most stores of a squeezed fleet have none.
// A store that was only cut off and kept its role isn't cold.
void OutlierDetection::onProbeAnswered(int store, int zone, bool keptRole, TimePoint now) {
  failedProbes_[store] = 0;
  onZoneResult(zone, true, now);
  bool hadNoRoom = connectionRefused_[store] && !unreachable_[store];
  if (hadNoRoom && manyProxies_) fleetShortageAt_ = now;
  if (keptRole) unreachable_[store] = 0;
}

// When a zone is lost, each proxy would otherwise find out store by store, at the cost of a
// statement each.
void OutlierDetection::onZoneResult(int zone, bool responded, TimePoint now) {
  if (zone < 0) return;
  Zone& known = zones_[zone];
  if (responded) {
    known.failures = 0;
    return;
  }
  ++known.failures;
  known.failedAt = now;
}

void OutlierDetection::eject(int store, EjectionReason reason, TimePoint now) {
  Duration first = settings_.connectTimeout;
  Duration& ejection = ejection_[store];
  ejection = ejection > Duration{} ? std::min(ejection * 2, first * kMaxEjection) : first;
  ejectedUntil_[store] = now + ejection;
  ejectedAt_[store] = now;
  if (reason == EjectionReason::connectionFailed) connectionRefused_[store] = 1;
}

// A process that died and answers again is cold long before the list says that it started. A store
// that refused a connection but answered every probe had no room for one and was never away.
bool OutlierDetection::hasRestarted(int store) const {
  return unreachable_[store] || (connectionRefused_[store] && !settings_.mayProbe);
}

void OutlierDetection::readmit(int store) {
  connectionRefused_[store] = 0;
  unreachable_[store] = 0;
  ejectedUntil_[store] = kNever;
  ejection_[store] = {};
}

void OutlierDetection::onRestarted(int store) {
  successRate_[store] = 1;
  shortageAt_[store] = kNever;
}

double OutlierDetection::fadedPartAfter(Duration passed) const {
  return 1 - std::exp(-(passed / (smallestSlo_ * kFadeTime)));
}

}  // namespace reedchute

#include "decision/outlier_detection.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/indexed_array.h"

namespace reedchute {
namespace {

constexpr double kOutcomeWeight = 0.1;  // weight of one outcome in a moving average
constexpr double kTimeWeight = kOutcomeWeight * 0.5;
constexpr double kShortageShare = 0.06;  // fraction of refused connections that shows a shortage
constexpr double kDecayTime = 8;  // smallest SLO times: time constant of the decay of bad rates
constexpr double kOverduePenalty = 0.3;  // fraction of the success rate lost by an overdue attempt
constexpr double kMaxEjection = 8;       // connect timeouts

bool isSuccessful(AttemptOutcome outcome) {
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

// The success rate counts squared: fast errors free capacity quickly, so a failing store would
// attract more reads. The response time counts because a slow store responds correctly but late.
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
  bool isSuccess = isSuccessful(outcome);
  bool isConnectFailure = outcome == AttemptOutcome::connectFailed;
  // A single malformed or truncated response doesn't show that the process failed. With many
  // proxies, however, each sees no more than one such response of a failed process.
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
    if (context.isIdle) eject(store, EjectionReason::unresponsive, now);
  } else if (isConnectFailure || isReset) {
    onConnectionLost(store, isReset, context.sent, now);
  }
}

void OutlierDetection::onSuccess(int store, Duration elapsed, Duration typicalTime) {
  successRate_[store] += kOutcomeWeight * (1 - successRate_[store]);
  relativeTime_[store] += kTimeWeight * (elapsed / typicalTime - relativeTime_[store]);
}

// An attempt sent before the last ejection or the last response is no new evidence, nor is one lost
// connection of a store that responds on others.
void OutlierDetection::onConnectionLost(int store, bool wasOpen, TimePoint sent, TimePoint now) {
  if (wasOpen)
    unreachable_[store] = 1;
  else if (manyProxies_)
    shortageAt_[store] = now;
  else if (refusedShare_ > kShortageShare)
    fleetShortageAt_ = now;
  TimePoint lastRefused = std::exchange(refusedAt_[store], now);
  bool isFirst = lastRefused <= lastResponse_[store] && now - lastResponse_[store] < smallestSlo_;
  bool isNewEvidence = sent >= ejectedAt_[store] && sent >= lastResponse_[store];
  if (isNewEvidence && (!isFirst || manyProxies_))
    eject(store, EjectionReason::connectionFailed, now);
}

// The success rate is lowered because a store that answers only some statements is neither
// unresponsive nor returns errors.
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

// If a running store has no capacity for connections, most stores of an overloaded fleet have none
// either. A store that was only disconnected and kept its role isn't cold.
void OutlierDetection::onProbeAnswered(int store, int zone, bool keptRole, TimePoint now) {
  failedProbes_[store] = 0;
  onZoneResult(zone, true, now);
  bool hadNoRoom = connectionRefused_[store] && !unreachable_[store];
  if (hadNoRoom && manyProxies_) fleetShortageAt_ = now;
  if (keptRole) unreachable_[store] = 0;
}

// Without failures counted by zone, each proxy would detect the loss of a zone store by store, at
// the cost of one statement for each.
void OutlierDetection::onZoneResult(int zone, bool responded, TimePoint now) {
  if (zone < 0) return;
  Zone& state = zones_[zone];
  if (responded) {
    state.failures = 0;
    return;
  }
  ++state.failures;
  state.failedAt = now;
}

void OutlierDetection::eject(int store, EjectionReason reason, TimePoint now) {
  Duration first = settings_.connectTimeout;
  Duration& ejection = ejection_[store];
  ejection = ejection > Duration{} ? std::min(ejection * 2, first * kMaxEjection) : first;
  ejectedUntil_[store] = now + ejection;
  ejectedAt_[store] = now;
  if (reason == EjectionReason::connectionFailed) connectionRefused_[store] = 1;
}

// A process that failed and responds again is cold long before the endpoint list contains its
// start. A store that refused a connection but answered every probe had no capacity for one and was
// never unreachable.
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

double OutlierDetection::computeDecayedPart(Duration passed) const {
  return 1 - std::exp(-(passed / (smallestSlo_ * kDecayTime)));
}

}  // namespace reedchute

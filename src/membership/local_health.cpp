#include "membership/local_health.h"

#include <algorithm>

namespace reedchute::membership {
namespace {

constexpr int kMaxScore = 8;
constexpr int kDegradedScore = 3;            // lowest score of a degraded process
constexpr double kSlowdownPerPoint = 0.25;   // fraction of the period
constexpr double kPauseDegradedPeriods = 4;  // during which a process is degraded after a pause

}  // namespace

void LocalHealth::raiseScore() {
  score_ = std::min(kMaxScore, score_ + 1);
}

void LocalHealth::onProbeAnswered() {
  score_ = std::max(0, score_ - 1);
}

void LocalHealth::onProbeFailed() {
  raiseScore();
}

void LocalHealth::onSuspected(TimePoint now) {
  raiseScore();
  degradedUntil_ = std::max(degradedUntil_, now + period_);
}

void LocalHealth::onPaused(TimePoint now) {
  raiseScore();
  degradedUntil_ = now + period_ * kPauseDegradedPeriods;
}

bool LocalHealth::isDegraded(TimePoint now) const {
  return score_ >= kDegradedScore || now < degradedUntil_;
}

Duration LocalHealth::scaledPeriod() const {
  return period_ * (1 + score_ * kSlowdownPerPoint);
}

}  // namespace reedchute::membership

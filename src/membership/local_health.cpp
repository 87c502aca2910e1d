#include "membership/local_health.h"

#include <algorithm>

namespace reedchute::membership {
namespace {

constexpr int kMaxScore = 8;
constexpr int kDegradedScore = 3;           // from which the process is degraded
constexpr double kSlowdownPerPoint = 0.25;  // of the period
constexpr double kPausedFor = 4;            // periods that a process is degraded after a pause

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
  degradedUntil_ = now + period_ * kPausedFor;
}

bool LocalHealth::isDegraded(TimePoint now) const {
  return score_ >= kDegradedScore || now < degradedUntil_;
}

Duration LocalHealth::scaledPeriod() const {
  return period_ * (1 + score_ * kSlowdownPerPoint);
}

}  // namespace reedchute::membership

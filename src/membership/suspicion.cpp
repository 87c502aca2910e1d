#include "membership/suspicion.h"

#include <algorithm>
#include <cmath>

namespace reedchute::membership {
namespace {

constexpr double kShortestTimeout = 6;    // periods, times the logarithm of the live members
constexpr double kSoleAccuserFactor = 3;  // longer if there is a single accuser
constexpr double kEnoughAccusers = 3;     // number that gives the shortest timeout
constexpr std::size_t kMaxAccusers = 8;   // stored per suspect

}  // namespace

Duration suspicionTimeout(std::size_t accusers, std::size_t liveMembers, Duration period) {
  double shortest = kShortestTimeout *
                    std::max(1.0, std::log10(static_cast<double>(liveMembers) + 1));
  double confidence = std::min(1.0,
                               std::log(static_cast<double>(accusers)) / std::log(kEnoughAccusers));
  double factor = kSoleAccuserFactor - (kSoleAccuserFactor - 1) * confidence;
  return period * (shortest * factor);
}

Duration shortestSuspicionTimeout(std::size_t liveMembers, Duration period) {
  return suspicionTimeout(static_cast<std::size_t>(kEnoughAccusers), liveMembers, period);
}

void Suspicion::start(const std::string& accuser, TimePoint now, Duration timeout) {
  startedAt_ = now;
  deadline_ = now + timeout;
  accusers_ = {accuser};
}

void Suspicion::clear() {
  deadline_ = kForever;
  accusers_.clear();
}

bool Suspicion::addAccuser(const std::string& accuser) {
  if (accusers_.size() >= kMaxAccusers) return false;
  if (std::find(accusers_.begin(), accusers_.end(), accuser) != accusers_.end()) return false;
  accusers_.push_back(accuser);
  return true;
}

void Suspicion::shortenTo(Duration timeout) {
  deadline_ = std::min(deadline_, startedAt_ + timeout);
}

void Suspicion::extendBy(Duration pause) {
  if (deadline_ < kForever) deadline_ = deadline_ + pause;
}

}  // namespace reedchute::membership

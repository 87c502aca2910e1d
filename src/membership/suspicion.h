// How long one suspected member has to refute before it is declared dead: SWIM's suspicion with
// Lifeguard's timeout, which shrinks with each further member that accuses it.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "base/time.h"

namespace reedchute::membership {

// The time that a suspect has with this many accusers, in a fleet of so many live members.
Duration suspicionTimeout(std::size_t accusers, std::size_t liveMembers, Duration period);

// The shortest of these times: that of a suspect which enough members accuse.
Duration shortestSuspicionTimeout(std::size_t liveMembers, Duration period);

class Suspicion {
 public:
  void start(const std::string& accuser, TimePoint now, Duration timeout);
  void clear();
  // False where it has accused already, or enough accusers are known.
  bool addAccuser(const std::string& accuser);
  // The timeout counts from when the suspicion began; it is never lengthened.
  void shortenTo(Duration timeout);
  // This process stood still for so long, so the suspect couldn't be heard.
  void extendBy(Duration pause);

  std::size_t accuserCount() const { return accusers_.size(); }
  bool hasExpired(TimePoint now) const { return now >= deadline_; }

 private:
  TimePoint startedAt_ = kNever;
  TimePoint deadline_ = kForever;
  std::vector<std::string> accusers_;
};

}  // namespace reedchute::membership

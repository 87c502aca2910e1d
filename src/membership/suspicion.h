// The time that a suspected member has to refute before it is declared dead: SWIM's suspicion with
// Lifeguard's timeout, which shrinks with each further accuser (member that reports the suspicion).
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "base/time.h"

namespace reedchute::membership {

// The timeout of a suspect with `accusers` accusers, in a fleet of `liveMembers` live members.
Duration suspicionTimeout(std::size_t accusers, std::size_t liveMembers, Duration period);

// The shortest such timeout, which applies once there are enough accusers.
Duration shortestSuspicionTimeout(std::size_t liveMembers, Duration period);

class Suspicion {
 public:
  void start(const std::string& accuser, TimePoint now, Duration timeout);
  void clear();
  // Returns false if the accuser is already known or the maximum number of accusers is reached.
  bool addAccuser(const std::string& accuser);
  // `timeout` is counted from the start of the suspicion; this never extends the deadline.
  void shortenTo(Duration timeout);
  // Extends the deadline by a pause of this process, during which no refutation could be received.
  void extendBy(Duration pause);

  std::size_t accuserCount() const { return accusers_.size(); }
  bool hasExpired(TimePoint now) const { return now >= deadline_; }

 private:
  TimePoint startedAt_ = kNever;
  TimePoint deadline_ = kForever;
  std::vector<std::string> accusers_;
};

}  // namespace reedchute::membership

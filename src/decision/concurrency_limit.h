// An adaptive limit on the attempts in flight at each store, raised and cut by response times.
//
// Owns the number of outstanding attempts and the limit of each store, and the pacing of sends to
// stores whose limit is below one. If many proxies share a store, one attempt from each at a time
// is too many: there the limit is below one, and sends are spaced out in time instead.
#pragma once

#include <vector>

#include "base/time.h"
#include "decision/types.h"

namespace reedchute {

// The capacity that a statement needs at a store.
struct CapacityRequest {
  double limitShare = 1;       // fraction of the limit that statements of its kind may use
  bool mustBeCurrent = false;  // a write or a fresh read
  Duration typicalTime;
};

enum class CutReason { slow, overloaded };

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const EngineSettings& settings);

  void reset(int store);

  // True if limits start below one, so that each proxy observes and may send little traffic.
  bool isSharedByManyProxies() const { return initialLimit_ < 1; }
  double initialLimit() const { return initialLimit_; }
  double limit(int store) const { return limit_[store]; }
  int outstanding(int store) const { return outstanding_[store]; }
  bool hasCapacity(int store, const CapacityRequest& request, TimePoint now) const;
  // Whether the pacing, or the limit times `share`, allows a read of low priority.
  bool hasSpareCapacity(int store, double share, TimePoint now) const;
  // Whether the limit holds back an attempt that is sent now.
  bool isPaced(int store, TimePoint now) const;

  // Delays the first send to a store, so that proxies that discover it together don't all send at
  // the same time.
  void delayFirstSend(int store, Duration delay, TimePoint now);
  void onSent(int store, Duration typicalTime, TimePoint now);
  void onAttemptEnded(int store) { --outstanding_[store]; }
  // Raises or cuts the limit by the elapsed time of a successful attempt.
  void onSuccess(int store, const Attempt& attempt, Duration elapsed, Duration slo, TimePoint now);
  // Cuts the limit, unless the attempt was sent before the last cut: then it shows the same
  // congestion.
  void cut(int store, TimePoint sent, CutReason reason, TimePoint now);
  // Moves a limit that was cut towards its recovery target by the fraction `part`.
  void recover(int store, double part, TimePoint now) {
    double limit = limit_[store];
    if (limit < recoveryTarget_) setLimit(store, limit + part * (recoveryTarget_ - limit), now);
  }

 private:
  void setLimit(int store, double limit, TimePoint now);

  const EngineSettings& settings_;
  const double initialLimit_;
  const double recoveryTarget_;  // limit up to which recover() raises
  std::vector<int> outstanding_;
  std::vector<double> limit_;
  std::vector<TimePoint> nextSendAt_;  // for limits below one: when the pacing allows a send
  std::vector<TimePoint> cutAt_;
};

}  // namespace reedchute

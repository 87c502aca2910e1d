// The limit of attempts in flight at each store, adapted to how fast the store responds.
//
// Owns the count of outstanding attempts, the limits and the pace of stores whose limit is below
// one. Where many proxies share a store, one attempt from each at a time is too many: there the
// limit is below one and spaces sends out in time.
#pragma once

#include <vector>

#include "base/time.h"
#include "decision/types.h"

namespace reedchute {

// What a statement asks of a store's limit.
struct CapacityRequest {
  double limitShare = 1;       // of the limit that statements of its kind may fill
  bool mustBeCurrent = false;  // a write or a fresh read
  Duration typicalTime;
};

enum class CutReason { slow, jammed };

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const EngineSettings& settings);

  void reset(int store);

  // True where limits start below one, so that each proxy sees and may send little.
  bool isSharedByManyProxies() const { return initialLimit_ < 1; }
  double initialLimit() const { return initialLimit_; }
  double limit(int store) const { return limit_[store]; }
  int outstanding(int store) const { return outstanding_[store]; }
  bool hasCapacity(int store, const CapacityRequest& request, TimePoint now) const;
  // Whether the pace, or the limit times `share`, has a place for a read that holds back.
  bool hasSpareCapacity(int store, double share, TimePoint now) const;
  // Whether what is sent now is held back by the limit.
  bool paces(int store, TimePoint now) const;

  // Delays the first send to a store, so that proxies that meet it together don't all find it free.
  void delayFirstSend(int store, Duration delay, TimePoint now);
  void onSent(int store, Duration typicalTime, TimePoint now);
  void onReturned(int store) { --outstanding_[store]; }
  // Raises or cuts the limit by the time that a successful attempt took.
  void onSuccess(int store, const Attempt& attempt, Duration elapsed, Duration slo, TimePoint now);
  // Cuts once for all that was sent before the last cut, which tells of the same jam.
  void cut(int store, TimePoint sent, CutReason reason, TimePoint now);
  // Moves a limit that was cut a part of the way back to where limits start.
  void recover(int store, double part, TimePoint now) {
    double limit = limit_[store];
    if (limit < recoveryTarget_) setLimit(store, limit + part * (recoveryTarget_ - limit), now);
  }

 private:
  void setLimit(int store, double limit, TimePoint now);

  const EngineSettings& settings_;
  const double initialLimit_;
  const double recoveryTarget_;  // up to which a limit that was cut recovers by itself
  std::vector<int> outstanding_;
  std::vector<double> limit_;
  std::vector<TimePoint> nextSendAt_;  // where the limit is below one: its pace has a place again
  std::vector<TimePoint> cutAt_;
};

}  // namespace reedchute

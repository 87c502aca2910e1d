// Ejects stores that fail, and rates how well the others respond.
//
// Owns the success rates, relative response times and ejections of stores, the state of stores that
// refuse connections, and the failures of zones. The duration of an ejection doubles with each
// further one. After it ends, a store that refused a connection is tried only by probes, if probes
// are allowed.
#pragma once

#include <vector>

#include "base/time.h"
#include "decision/types.h"

namespace reedchute {

enum class EjectionReason { unresponsive, connectionFailed };

class OutlierDetection {
 public:
  // `manyProxies`: each proxy observes little of a store's traffic, so a single failure must count
  // for more.
  OutlierDetection(const EngineSettings& settings, Duration smallestSlo, bool manyProxies);

  void reset(int store, TimePoint now);
  void ensureZone(int zone);

  // False while a store is ejected or may receive only probes.
  bool isAvailable(int store, TimePoint now) const {
    return !isEjected(store, now) && !(connectionRefused_[store] && settings_.mayProbe);
  }
  bool isEjected(int store, TimePoint now) const { return ejectedUntil_[store] > now; }
  TimePoint ejectedAt(int store) const { return ejectedAt_[store]; }
  Duration ejection(int store) const { return ejection_[store]; }
  bool hasRefusedConnection(int store) const { return connectionRefused_[store]; }
  // True if a store responds well enough to serve long reads.
  bool mayServeLongReads(int store) const {
    constexpr double kMinSuccessRate = 0.5;
    return !connectionRefused_[store] && successRate_[store] > kMinSuccessRate;
  }
  // Factor on the weight of a store, from its success rate and relative response time.
  double weight(int store) const;
  TimePoint lastResponse(int store) const { return lastResponse_[store]; }
  // True after consecutive failures of the zone's stores without a response (test: zoneDoubt).
  bool isZoneSuspect(int zone, TimePoint now) const {
    return zone >= 0 && zones_[zone].failures >= kSuspectFailures &&
           isRecent(zones_[zone].failedAt, now);
  }
  // True if this store, or the fleet, recently had no capacity for further connections, so that
  // idle ones should be closed.
  bool hasConnectionShortage(int store, TimePoint now) const;

  // `typicalTime` is the typical time of the workload; `isIdle` is true if no other attempt is
  // outstanding at the store.
  struct AttemptContext {
    int zone = -1;
    TimePoint sent;
    Duration typicalTime;
    bool isIdle = false;
  };
  void onAttemptEnded(int store, const AttemptResult& result, const AttemptContext& context,
                      TimePoint now);
  // An attempt has been outstanding for much longer than usual.
  void onAttemptOverdue(int store, int zone, TimePoint sent, TimePoint now);
  // An attempt was sent to the store. If the store hasn't responded since its last ejection, it is
  // ejected again for the same time, so that it receives one attempt at a time.
  void onSent(int store, TimePoint now);
  // Returns whether the store now counts as unreachable. With few proxies one failed probe is not
  // enough for that.
  bool onProbeFailed(int store, TimePoint now);
  // `keptRole`: the probe shows that the store has been primary through its ejection.
  void onProbeAnswered(int store, int zone, bool keptRole, TimePoint now);

  void eject(int store, EjectionReason reason, TimePoint now);
  // True if the store was unreachable and must be treated as restarted once it responds.
  bool hasRestarted(int store) const;
  bool wasUnreachable(int store) const { return connectionRefused_[store] && unreachable_[store]; }
  // Ends the ejection and forgets refused connections.
  void readmit(int store);
  // Resets what was measured of the store's previous process.
  void onRestarted(int store);

  // Moves the success rate and relative response time back to 1 by the time that has passed;
  // returns the fraction of the difference that was removed.
  double decay(int store, TimePoint now) {
    double part = decayedPart(now - lastDecay_[store]);
    successRate_[store] += part * (1 - successRate_[store]);
    relativeTime_[store] += part * (1 - relativeTime_[store]);
    lastDecay_[store] = now;
    return part;
  }

 private:
  void onSuccess(int store, Duration elapsed, Duration typicalTime);
  void onConnectionLost(int store, bool wasOpen, TimePoint sent, TimePoint now);
  void onZoneResult(int zone, bool responded, TimePoint now);
  // Nearly all stores were last updated at the same time, so the last result is cached.
  double decayedPart(Duration passed) {
    if (passed != decayGap_) {
      decayGap_ = passed;
      decayPart_ = computeDecayedPart(passed);
    }
    return decayPart_;
  }
  double computeDecayedPart(Duration passed) const;
  bool isRecent(TimePoint failedAt, TimePoint now) const;

  static constexpr int kSuspectFailures = 3;  // consecutive failures in a zone

  struct Zone {
    int failures = 0;  // since its last response
    TimePoint failedAt = kNever;
  };

  const EngineSettings& settings_;
  const Duration smallestSlo_;
  const bool manyProxies_;
  std::vector<double> successRate_;
  std::vector<double> relativeTime_;  // response time, in typical times
  std::vector<TimePoint> lastResponse_;
  std::vector<TimePoint> lastDecay_;
  std::vector<TimePoint> ejectedUntil_;
  std::vector<TimePoint> ejectedAt_;
  std::vector<Duration> ejection_;
  std::vector<char> connectionRefused_;
  std::vector<char> unreachable_;  // an open connection was lost, or probes failed
  std::vector<TimePoint> refusedAt_;
  std::vector<TimePoint> shortageAt_;  // last seen without capacity for connections
  std::vector<int> failedProbes_;      // consecutive
  std::vector<Zone> zones_;
  double refusedShare_ = 0;             // fraction of attempts that got no connection
  TimePoint fleetShortageAt_ = kNever;  // last time that several stores lacked capacity
  Duration decayGap_;                   // the cached argument of decayedPart(), and its result
  double decayPart_ = 0;
};

}  // namespace reedchute

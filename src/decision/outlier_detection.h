// Which stores are left alone because they fail, and how well the others respond.
//
// Owns success rates and relative response times, ejections, what is known of stores that refuse
// connections, and the failures of zones. An ejection ends after a time that doubles with each
// further one. A store that refused a connection is then tried by probes alone, where these are
// allowed.
#pragma once

#include <vector>

#include "base/time.h"
#include "decision/types.h"

namespace reedchute {

enum class EjectionReason { silent, connectionFailed };

class OutlierDetection {
 public:
  // `manyProxies`: each proxy sees little of a store, so that one failure must tell more.
  OutlierDetection(const EngineSettings& settings, Duration smallestSlo, bool manyProxies);

  void reset(int store, TimePoint now);
  void ensureZone(int zone);

  // False while a store is ejected or only probes may try it.
  bool isAvailable(int store, TimePoint now) const {
    return !isEjected(store, now) && !(connectionRefused_[store] && settings_.mayProbe);
  }
  bool isEjected(int store, TimePoint now) const { return ejectedUntil_[store] > now; }
  TimePoint ejectedAt(int store) const { return ejectedAt_[store]; }
  Duration ejection(int store) const { return ejection_[store]; }
  bool hasRefusedConnection(int store) const { return connectionRefused_[store]; }
  // True where a store responds well enough to host long reads.
  bool mayHostLongReads(int store) const {
    constexpr double kHostSuccessRate = 0.5;
    return !connectionRefused_[store] && successRate_[store] > kHostSuccessRate;
  }
  // A factor for the weight of a store, by its success rate and response time.
  double weight(int store) const;
  TimePoint lastResponse(int store) const { return lastResponse_[store]; }
  // True while the zone's stores fail with no success between (test: zoneDoubt).
  bool isZoneSuspect(int zone, TimePoint now) const {
    return zone >= 0 && zones_[zone].failures >= kSuspectFailures &&
           isRecent(zones_[zone].failedAt, now);
  }
  // True where stores lately had no room for connections, so that idle ones should be closed.
  bool hasConnectionShortage(int store, TimePoint now) const;

  // `typicalTime` is the workload's, `isIdle` whether nothing else is outstanding at the store.
  struct AttemptContext {
    int zone = -1;
    TimePoint sent;
    Duration typicalTime;
    bool isIdle = false;
  };
  void onAttemptEnded(int store, const AttemptResult& result, const AttemptContext& context,
                      TimePoint now);
  // An attempt has been out for much longer than usual.
  void onAttemptOverdue(int store, int zone, TimePoint sent, TimePoint now);
  // An attempt was sent to the store: while ejections last, one at a time.
  void onSent(int store, TimePoint now);
  // Returns whether the store counts as unreachable by now, which one failed probe doesn't show.
  bool onProbeFailed(int store, TimePoint now);
  // `keptRole`: the probe shows that the store has been primary through its ejection.
  void onProbeAnswered(int store, int zone, bool keptRole, TimePoint now);

  void eject(int store, EjectionReason reason, TimePoint now);
  // True where the store was away and has to be taken as started anew when it answers.
  bool hasRestarted(int store) const;
  bool wasUnreachable(int store) const { return connectionRefused_[store] && unreachable_[store]; }
  // Ends the ejection and all suspicion.
  void readmit(int store);
  // Nothing that was learned of the former process holds for the new one.
  void onRestarted(int store);

  // Lets bad rates fade by the time passed; returns the part that has faded.
  double fade(int store, TimePoint now) {
    double part = fadedPart(now - lastDecay_[store]);
    successRate_[store] += part * (1 - successRate_[store]);
    relativeTime_[store] += part * (1 - relativeTime_[store]);
    lastDecay_[store] = now;
    return part;
  }

 private:
  void onSuccess(int store, Duration elapsed, Duration typicalTime);
  void onConnectionLost(int store, bool wasOpen, TimePoint sent, TimePoint now);
  void onZoneResult(int zone, bool responded, TimePoint now);
  // Nearly all stores were last faded at the same time, so the last part is kept.
  double fadedPart(Duration passed) {
    if (passed != fadeGap_) {
      fadeGap_ = passed;
      fadePart_ = fadedPartAfter(passed);
    }
    return fadePart_;
  }
  double fadedPartAfter(Duration passed) const;
  bool isRecent(TimePoint failedAt, TimePoint now) const;

  static constexpr int kSuspectFailures = 3;  // of a zone, one after the other

  struct Zone {
    int failures = 0;  // since its last response
    TimePoint failedAt = kNever;
  };

  const EngineSettings& settings_;
  const Duration smallestSlo_;
  const bool manyProxies_;
  std::vector<double> successRate_;
  std::vector<double> relativeTime_;  // of responses, in typical times
  std::vector<TimePoint> lastResponse_;
  std::vector<TimePoint> lastDecay_;
  std::vector<TimePoint> ejectedUntil_;
  std::vector<TimePoint> ejectedAt_;
  std::vector<Duration> ejection_;
  std::vector<char> connectionRefused_;
  std::vector<char> unreachable_;  // and probes found the store away
  std::vector<TimePoint> refusedAt_;
  std::vector<TimePoint> shortageAt_;  // last seen without room for connections
  std::vector<int> failedProbes_;      // one after the other
  std::vector<Zone> zones_;
  double refusedShare_ = 0;             // of attempts that got no connection
  TimePoint fleetShortageAt_ = kNever;  // last seen that not one store alone lacks room
  Duration fadeGap_;                    // the last time passed, and its part
  double fadePart_ = 0;
};

}  // namespace reedchute

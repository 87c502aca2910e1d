// Decides which zones this proxy uses, and how much: each proxy decides alone, by the same function
// of the reports of many proxies. Without I/O and clock; not thread-safe. docs/zones.md says what
// else was weighed, and what differing reports can cost.
//
// The result for a zone is a share of the usual traffic, which becomes one more factor in a
// replica's weight. It never says that a replica is fresh or that a statement didn't run.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "zones/evacuation_policy.h"
#include "zones/zone_report.h"
#include "zones/zone_votes.h"

namespace reedchute::zones {

// Why a zone has its status.
enum class Cause { none, gone, cutOff, grey, commanded, followed, recovered, relapsed };
const char* nameOf(Cause cause);

struct ZoneState {
  ZoneStatus status = ZoneStatus::active;
  Cause cause = Cause::none;
  double share = 1;          // of the usual traffic
  bool mayProbe = true;      // this proxy may probe the zone's stores that it found unreachable
  TimePoint since = kNever;  // in this status
  int failedRecoveries = 0;
  // The proxies behind the last decision, by opinion.
  int gone = 0;
  int grey = 0;
  int healthy = 0;
  CommandRecord command;
};

struct ZoneChange {
  std::string zone;
  ZoneState state;
  ZoneStatus previous = ZoneStatus::active;
};

class EvacuationController {
 public:
  EvacuationController(EvacuationPolicy policy, std::string proxyName, std::string ownZone);

  void decide(const RoundInput& input, TimePoint now);
  // False, with the reason in `why`, where a later command is known, or too few zones would remain.
  bool command(const std::string& zone, CommandRecord record, std::string& why);
  const std::map<std::string, ZoneState>& zones() const { return zones_; }
  const ZoneState* find(const std::string& zone) const;
  std::vector<ZoneChange> takeChanges() { return std::exchange(changes_, {}); }
  // Adds each zone's status and share to this proxy's report.
  void addStatusTo(ZoneReport& report, TimePoint now) const;

 private:
  struct Timers {
    TimePoint badSince = kNever;      // the zone's verdict, without a break
    TimePoint answersSince = kNever;  // the evacuated zone, without a break
    TimePoint activeSince = kNever;
  };
  // One zone in one round.
  struct Case {
    const std::string& name;  // of the zone
    ZoneState& state;
    Timers& timers;
    const ZoneVotes& votes;
    const RoundInput& input;
    TimePoint now;

    int required() const { return requiredVotes(input.liveProxies); }
    bool isGone() const;
    bool isBad() const;
    // Most other proxies have evacuated the zone, or let it recover.
    bool isEvacuatedElsewhere() const;
    bool isRecoveringElsewhere() const;
    bool isSuspicious() const { return votes.badProxies() > votes.healthy.proxies; }
  };

  void decideZone(const std::string& zone, const ZoneVotes& votes, const RoundInput& input,
                  TimePoint now);
  void decideInUse(Case& zone);
  void decideEvacuated(Case& zone);
  void decideRecovering(Case& zone);

  void trackBadVerdict(Case& zone) const;
  bool isConfirmedBad(const Case& zone) const;
  void evacuate(Case& zone, bool isConfirmed);
  Cause evacuationCause(const Case& zone, bool isConfirmed) const;
  bool isReachedFromOtherZones(const Case& zone) const;
  void updateSuspicion(Case& zone);
  void trackAnswers(Case& zone) const;
  bool hasAnsweredLongEnough(const Case& zone) const;
  bool doesAnswer(const Case& zone) const;
  bool hasRelapsed(const Case& zone) const;

  void enter(Case& zone, ZoneStatus status, Cause cause, double share);
  double movableShare(const std::string& zone, const RoundInput& input) const;
  double meanHeadroom(const RoundInput& input) const;
  bool mayEvacuate(const std::string& zone) const;
  Duration recoverAfter(int failedRecoveries) const;
  bool isTurnToProbe(const std::string& zone, std::size_t proxies, TimePoint now) const;
  void syncZones(const std::map<std::string, int>& storesByZone, TimePoint now);

  EvacuationPolicy policy_;
  std::string proxyName_;
  std::string ownZone_;
  std::map<std::string, ZoneState> zones_;
  std::map<std::string, Timers> timers_;
  std::vector<ZoneChange> changes_;
};

}  // namespace reedchute::zones

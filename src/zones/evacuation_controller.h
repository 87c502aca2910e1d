// Decides which zones this proxy sends traffic to, and which share of it. Each proxy decides on its
// own, by applying the same function to the reports of many proxies. Performs no I/O and reads no
// clock; not thread-safe. docs/zones.md describes the alternatives considered and the cost of
// proxies deciding on differing reports.
//
// The result for a zone is a share of its usual traffic, which is one more factor in the weight of
// a replica. It makes no statement about a replica's staleness or about whether a statement ran.
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

// Why a zone has its status:
// - gone: its stores fail, and no proxy of another zone is known to find it healthy. For a suspect
//   zone the other zones aren't considered.
// - cutOff: its stores fail here, but proxies of another zone find it healthy.
// - grey: a gray failure (it answers, but late or with errors), or no capacity elsewhere.
// - commanded: an operator's command.
// - followed: most other proxies of this zone evacuated it first.
// - recovered: it answers again, is back in full use, or is no longer suspect.
// - relapsed: it failed again during its recovery.
enum class Cause { none, gone, cutOff, grey, commanded, followed, recovered, relapsed };
const char* nameOf(Cause cause);

struct ZoneState {
  ZoneStatus status = ZoneStatus::active;
  Cause cause = Cause::none;
  double share = 1;          // of the zone's usual traffic
  bool mayProbe = true;      // this proxy may probe stores of the zone that it found unreachable
  TimePoint since = kNever;  // when the zone entered this status
  int failedRecoveries = 0;
  // Number of proxies with each opinion at the last decision.
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
  // Applies an operator's command. Returns false and sets `why` if the zone has no store, if a
  // later command is in force, or if too few zones would remain in use.
  bool command(const std::string& zone, CommandRecord record, std::string& why);
  const std::map<std::string, ZoneState>& zones() const { return zones_; }
  const ZoneState* find(const std::string& zone) const;
  std::vector<ZoneChange> takeChanges() { return std::exchange(changes_, {}); }
  // Adds the status and share of each zone to this proxy's report.
  void addStatusTo(ZoneReport& report, TimePoint now) const;

 private:
  struct Timers {
    TimePoint badSince = kNever;        // when the uninterrupted bad verdict began
    TimePoint answeringSince = kNever;  // when the evacuated zone began to answer uninterruptedly
    TimePoint activeSince = kNever;
  };
  // One zone with the input of one round of decisions.
  struct ZoneContext {
    const std::string& name;
    ZoneState& state;
    Timers& timers;
    const ZoneVotes& votes;
    const RoundInput& input;
    TimePoint now;

    int required() const { return requiredVotes(input.liveProxies); }
    bool isGone() const;
    bool isBad() const;
    // Most other proxies have evacuated the zone, or are letting it recover.
    bool isEvacuatedByPeers() const;
    bool isRecoveringByPeers() const;
    bool isSuspicious() const { return votes.badProxies() > votes.healthy.proxies; }
  };

  void decideZone(const std::string& zone, const ZoneVotes& votes, const RoundInput& input,
                  TimePoint now);
  void decideInUse(ZoneContext& zone);
  void decideEvacuated(ZoneContext& zone);
  void decideRecovering(ZoneContext& zone);

  void trackBadVerdict(ZoneContext& zone) const;
  bool isConfirmedBad(const ZoneContext& zone) const;
  void evacuate(ZoneContext& zone, bool isConfirmed);
  Cause evacuationCause(const ZoneContext& zone, bool isConfirmed) const;
  bool isReachedFromOtherZones(const ZoneContext& zone) const;
  void updateSuspicion(ZoneContext& zone);
  void trackAnswers(ZoneContext& zone) const;
  bool hasAnsweredLongEnough(const ZoneContext& zone) const;
  bool isAnswering(const ZoneContext& zone) const;
  bool hasRelapsed(const ZoneContext& zone) const;

  void enter(ZoneContext& zone, ZoneStatus status, Cause cause, double share);
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

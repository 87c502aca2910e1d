// The decision module: every decision, table and tuned value of reedchute stands in this file.
//
// How to call it: the interface is src/rules.h. Build a DecisionEngine with the EngineSettings that
// the platform hands out, feed it the facts of a round in order (entry, arrived, resolved, probed,
// ...), then call decide(now, writer) once; all answers go straight into the writer. An instance
// shares nothing with any other.
//
// The design (docs/design.md): lag weights reads by a line between soft and hard, drains at the
// read's bound with a re-entry gap, and picks the fewest outstanding per unit of weight. Beside it
// stand six mechanisms:
//   1. primary search                   2. probe timing           3. health from outcomes
//   4. in-flight limit with shedding    5. time-outs and further attempts    6. cold share by age
#include "decision/engine.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace reedchute {
namespace {

// The curve, as shares of the read's bound.
constexpr double kSoft = 0.25;
constexpr double kFloor = 0.10;
constexpr double kReentry =
    0.92;  // above the age that a report has when it comes in, or few would return
constexpr double kSpill =
    0.1;  // of the SLO time that a long read waits before it takes one more replica
constexpr double kLongMembers = 0.34;  // of a group that long reads may take at the most
constexpr double kHostMargin =
    1.5;  // hosts for each whole member's work of long reads, at many fronts
constexpr double kHostShare = 0.5;  // of a host's limit that short reads may fill
constexpr double kSlowStart =
    10;  // SLO times (the smallest) over which a returned replica ramps up
// The list, as shares of the time after which a front must have asked.
constexpr double kAskFirst = 0.1;
constexpr double kAskLast = 0.5;
constexpr double kAskAnyway =
    0.1;  // of the time after which what it has counts as told all the same
// Primary search.
constexpr double kSearchGap =
    0.1;  // of the workload's SLO time, between two tries at members in turn
constexpr double kSearchAgain =
    0.5;  // of the SLO time, before a member seen as replica is tried again
constexpr double kUnread =
    0.5;  // of the time after which an answer's word counts, that a read may wait
// Probe timing.
constexpr double kFirstPace = 0.3;   // of the smallest bound, until the reports' period is known
constexpr double kDrift = 0.01;      // by which a smallest figure rises again at each sample
constexpr double kLagPace = 0.25;    // of a lagging replica's lag: it can't be fresh much sooner
constexpr double kSlowestPace = 10;  // smallest bounds between two probes of a store that is wanted
constexpr double kLagging = 1.5;     // times the oldest a healthy replica's report can be
constexpr double kLikely =
    0.6;  // of the period learned: two reports closer than that tell no period
constexpr double kProbeSpend = 0.06;  // of a statement's worth: probes earned by each bounded read
constexpr double kProbesMost = 4;     // probes that one read earns at the most, and
constexpr double kProbesCap = 16;     // that a front may have in hand
constexpr double kLead = 0.75;        // measured replicas wanted for each bounded read in flight
// Health.
constexpr double kLearn = 0.1;        // weight of one outcome in a running share
constexpr double kFirstUsual = 0.25;  // of the SLO time, taken as usual until answers tell
constexpr double kWell = 0.5;  // good share from which a store takes its turn as host of long reads
constexpr double kCrowded =
    0.06;  // share of refused connections from which stores have no room for them
constexpr double kForget = 8;  // SLO times after which a bad share is mostly forgotten
constexpr int kZoneMisses =
    3;  // tries in vain in a zone with no word from it between: it is doubted
constexpr double kZoneDoubt = 0.02;  // of its replicas' weight that is left then
constexpr double kBlockCap = 8;      // connect time-outs: the longest block
// In-flight limit.
constexpr double kFirstLimit = 4;
constexpr double kTogether = 8;  // attempts that all fronts together start with at a store
constexpr double kAhead = 8;     // usual gaps by which writes may run ahead of a pace below one
constexpr double kGrow = 0.3;    // of itself, by which a limit below one grows
constexpr double kCut = 0.7;
constexpr double kCutJam = kCut * kCut *
                           kCut;     // where limits stand below one, and the answer tells of a jam
constexpr double kJam = 2;           // times as slow as one that cuts at all
constexpr double kLagCut = 0.25;     // of the bound: more lag than that cuts the limit too
constexpr double kSlowAnswer = 0.3;  // of the SLO time: an answer slower than that cuts the limit
constexpr double kReadShare = 0.75;  // of the primary's limit that reads may fill
constexpr double kLongRoom =
    2;                        // of a replica's limit that long reads may fill where they are packed
constexpr double kStart = 2;  // usual times that must be left before the SLO time for a start to be
constexpr double kStartShare =
    0.7;  // in time, up to this share of it where that is above one usual time
constexpr double kMemory = 0.25;          // of the warm-up time: how far back rates look
constexpr double kRetryAfterShare = 0.5;  // SLO times that a rejected client is asked to keep away
constexpr double kRepeatAge =
    0.5;  // of the SLO time that a client's repeat is taken to have waited before
constexpr double kLateWait = 0.45;  // of its client's time that a late statement may wait in all
constexpr double kWorthWaiting =
    0.5;  // late share from which a late statement still waits for room
// Time-outs.
constexpr double kSilent = 8, kWitness = 3;  // answers owed by a silent store, and by one execution
constexpr double kSilentShare = 0.3;         // of the smallest SLO time that it has given none
constexpr double kOverdue = 3;               // usual times, and
constexpr double kOverdueShare = 0.5;  // of the SLO time: an execution older than both is overdue
constexpr double kOverdueHurts =
    0.3;                           // of a store's good share that goes with an overdue execution
constexpr double kFurther = 0.05;  // second copies earned by each statement
constexpr double kFurtherCap = 16;
// Sessions remembered at once, where they carry no token.
constexpr std::size_t kSessionCap = 100'000;
// Cold share.
constexpr double kColdHeadroom = 0.8;  // of the multiple at which a cold store falls over
constexpr double kColdBurst = 0.25;    // of the window in which that is judged

double unit(std::ranlux24_base& chance) {
  return (static_cast<double>(chance()) + 0.5) / 16777216.0;
}

}  // namespace

DecisionEngine::DecisionEngine(EngineSettings settings, TimePoint now)
    : settings_(std::move(settings)), chance_(settings_.seed) {
  if (settings_.workloads.empty()) throw std::invalid_argument("no workloads are given");
  if (settings_.tick <= Duration{}) throw std::invalid_argument("the tick must be above 0");
  if (settings_.maxAttempts < 1) throw std::invalid_argument("no execution is allowed");
  if (!(settings_.coldInitialShare > 0 && settings_.coldInitialShare <= 1))
    throw std::invalid_argument("the cold share must be in (0, 1]");
  smallestBound_ = smallestSlo_ = settings_.workloads[0].slo;
  for (const Workload& w : settings_.workloads) {
    if (w.slo <= Duration{}) throw std::invalid_argument("a workload has no SLO time");
    if (w.level == Level::bounded && w.stalenessBound <= Duration{})
      throw std::invalid_argument("a bounded read has no bound");
    smallestSlo_ = std::min(smallestSlo_, w.slo);
    if (w.level == Level::bounded) smallestBound_ = std::min(smallestBound_, w.stalenessBound);
    typical_.push_back(w.slo * kFirstUsual);
    least_.push_back(w.slo * kFirstUsual);
  }
  meanWork_ = smallestSlo_.seconds() * kFirstUsual;
  refresh_ = smallestBound_;
  reportAge_ = smallestBound_ * kSoft;
  probesEarned_ = std::min(kProbesMost, kProbeSpend / std::max(settings_.probeCost, 1e-9));
  firstLimit_ = std::min(kFirstLimit, kTogether / settings_.proxyCount);
  memory_ = std::max(settings_.warmUpTime * kMemory, smallestSlo_);
  settings_.maxPollInterval = std::max(settings_.maxPollInterval, smallestSlo_);
  // Danger: calls may fail one after the other; what changes meanwhile counts as told at its time
  // anyway.
  Duration most = settings_.endpointsAssumedKnownAfter > Duration{}
                      ? settings_.endpointsAssumedKnownAfter * kAskAnyway
                      : kForever - kNever;
  askLast_ = std::min(settings_.maxPollInterval * kAskLast, most);
  askBackoff_ = askFirst_ = std::min(settings_.maxPollInterval * kAskFirst, most);
  if (settings_.pollsEndpoints) askAt_ = now;
  tenants_.resize(settings_.tenants.size());
  for (const Tenant& t : settings_.tenants) quotas_ += t.quota;
}

// ---- the list ----

void DecisionEngine::beginSnapshot(bool whole) {
  if (whole) std::fill(stores_.inList.begin(), stores_.inList.end(), 0);
}

void DecisionEngine::addEndpoint(const EndpointInfo& e, TimePoint now) {
  Stores& stores = stores_;
  int s = e.store;
  while (stores.size() <= s)
    stores.begin(stores.size(), settings_.workloads.size(), firstLimit_, now);
  // Danger: hundreds of fronts that meet a store together would each find it free for a read that
  // hangs back.
  if (many() && stores.group[s] < 0)
    stores.freeAt[s] = now + smallestSlo_ * kFirstUsual * (unit(chance_) / firstLimit_);
  if (stores.group[s] != e.group) {
    if (stores.group[s] >= 0) std::erase(groups_[stores.group[s]].members, s);
    if (static_cast<int>(groups_.size()) <= e.group) groups_.resize(e.group + 1);
    groups_[e.group].members.push_back(s), stores.group[s] = e.group;
  }
  if (static_cast<int>(zones_.size()) <= e.zone) zones_.resize(e.zone + 1);
  stores.zone[s] = e.zone, stores.weight[s] = e.weight > 0 ? e.weight : 1, stores.inList[s] = 1;
  // Where a vanished store is not bound by the drain rule the list does not prove what is up:
  // health decides.
  if (e.listed != EndpointStatus::gone || settings_.removalMeansDrained)
    stores.listed[s] = e.listed;
  if (e.started && *e.started > stores.started[s])
    begins(s, *e.started, now), unblock(s), startedAnew(s, now);
  GroupState& g = groups_[e.group];
  // Danger: a list with roles as at the start would name one that told otherwise and was forgotten
  // since.
  if (e.primary && e.listed == EndpointStatus::up && stores.role[s] == Role::unknown &&
      g.primary != s &&
      (g.primary < 0 ? settings_.endpointRolesAreCurrent || !g.moved
                     : settings_.endpointRolesAreCurrent &&
                           (g.named == RoleEvidence::listed || !usable(g.primary, now))))
    namePrimary(e.group, s, RoleEvidence::listed, now);
}

void DecisionEngine::endSnapshot(bool polled) {
  for (std::size_t s = 0; s < stores_.inList.size(); ++s)
    if (!stores_.inList[s] && settings_.removalMeansDrained)
      stores_.listed[s] = EndpointStatus::gone;
  if (polled) askBackoff_ = askFirst_;
}

void DecisionEngine::onDiscoveryFailed(TimePoint now) {
  // Danger: the list's service is small; fronts that all ask again at once keep it from answering
  // any.
  askAt_ = now + askBackoff_ * (0.5 + unit(chance_));
  askBackoff_ = std::min(askBackoff_ * 2, askLast_);
}

// Danger: a zone that is taken back is cold, and each front that found its stores away would look
// at each.
void DecisionEngine::setZoneShare(int zone, double share, bool looks, TimePoint now) {
  if (static_cast<int>(zones_.size()) <= zone) zones_.resize(zone + 1);
  double before = std::exchange(zones_[zone].share, share);
  zones_[zone].looks = looks;
  for (int s = 0; before <= 0 && share > 0 && s < stores_.size(); ++s)
    if (stores_.zone[s] == zone && stores_.group[s] >= 0) begins(s, now, now), unblock(s);
}

// Danger: with stores ever new, each round would walk all that there ever were.
void DecisionEngine::removeEndpoint(int s, TimePoint now) {
  for (GroupState& g : groups_)
    std::erase(g.members, s), g.primary = g.primary == s ? -1 : g.primary;
  stores_.begin(s, settings_.workloads.size(), firstLimit_, now);
}

// ---- the design: positions, curve, drain, choice ----

// `known`: how old the position may be by the way it came, as a report is renewed only now and
// then.
void DecisionEngine::learnPosition(int s, TimePoint position, Duration known, TimePoint now) {
  if (position < stores_.position[s]) return;
  stores_.position[s] = position;
  Duration lag = now - position;
  for (std::size_t w = 0; w < settings_.workloads.size(); ++w) {
    const Workload& row = settings_.workloads[w];
    if (row.level != Level::bounded) continue;
    // Danger: reads crowd the thread that applies the log; where they do, fewer of them let it
    // catch up.
    if (lag < row.stalenessBound && lag - known >= row.stalenessBound * kLagCut)
      cutLimit(s, position, now);
    if (lag >= row.stalenessBound)
      stores_.drained[s][w] = 1;
    else if (stores_.drained[s][w] && lag < row.stalenessBound * kReentry)
      stores_.drained[s][w] = 0, stores_.returned[s][w] = now;
  }
}

double DecisionEngine::curve(int s, const Workload& w, TimePoint now) const {
  Duration lag = now - stores_.position[s], soft = w.stalenessBound * kSoft;
  if (w.level != Level::bounded || lag <= soft) return 1;
  return lag >= w.stalenessBound ? kFloor * settings_.storesRejectStaleReads
                                 : 1 - (1 - kFloor) * ((lag - soft) / (w.stalenessBound - soft));
}

// Is the replica known to be fresh enough for this statement, if it is sent now?
bool DecisionEngine::measured(int s, const StatementState& st, TimePoint now) const {
  const Workload& w = settings_.workloads[st.workload];
  if (w.level == Level::bounded)
    return !stores_.drained[s][st.workload] &&  // a store that checks reads itself may be of
                                                // unknown age
           (settings_.storesRejectStaleReads ||
            now + settings_.tick - stores_.position[s] < w.stalenessBound);
  return w.level == Level::any || (w.level != Level::write && stores_.position[s] >= st.needs);
}

// Is the replica too far behind for every bounded workload?
bool DecisionEngine::boundedDrained(int s) const {
  for (std::size_t w = 0; w < settings_.workloads.size(); ++w)
    if (settings_.workloads[w].level == Level::bounded && !stores_.drained[s][w]) return false;
  return true;
}

// Does it run so long that a replica which holds up its log for it falls behind the smallest bound?
bool DecisionEngine::longRead(int w) const {
  return settings_.workloads[w].level == Level::any && typical_[w] > smallestBound_;
}

bool DecisionEngine::anyLongRead() const {
  for (int w = 0; w < static_cast<int>(settings_.workloads.size()); ++w)
    if (longRead(w)) return true;
  return false;
}

int DecisionEngine::hostsAtOnce(int members) const {
  double hosts = members * kHostMargin * longWork_ / allWork_;
  return std::clamp(static_cast<int>(hosts + 0.5), 1, std::max(1, members - 2));
}

// Does it take its turn as host of long reads? Members that do are its hosts in list order.
bool DecisionEngine::mayHost(int s) const {
  return s != groups_[stores_.group[s]].primary && stores_.listed[s] == EndpointStatus::up &&
         !stores_.down[s] && stores_.successRate[s] > kWell;
}

double DecisionEngine::weightFor(int s, int statement, TimePoint now) const {
  const StatementState& st = statements_[statement];
  const Workload& w = settings_.workloads[st.workload];
  double weight = stores_.weight[s] * curve(s, w, now) * warmth(s, now);
  double ramp = (now - stores_.returned[s][st.workload]) / (smallestSlo_ * kSlowStart);
  if (w.level == Level::bounded) weight *= std::clamp(ramp, kFloor, 1.0);
  weight *= doubted(s, now) ? kZoneDoubt : shareOf(s);
  // Danger: quick errors free slots fast and draw more reads; a slow store answers right but late.
  weight *= stores_.successRate[s] * stores_.successRate[s] /
            std::clamp(stores_.speed[s], 0.5, 10.0);
  for (const Attempt& e : st.attempts)
    if (e.store == s) weight *= kFloor;
  return std::max(weight, 1e-9);
}

int DecisionEngine::fewest(const std::vector<int>& among, int statement, TimePoint now) {
  int best = -1;
  double bestLoad = 0, tied = 0;
  for (int s : among) {
    double weight = weightFor(s, statement, now), load = stores_.out[s] / weight;
    if (best < 0 || load < bestLoad) {
      best = s, bestLoad = load, tied = weight;
    } else if (load == bestLoad) {
      tied += weight;
      if (unit(chance_) * tied < weight) best = s;
    }
  }
  return best;
}

// The store for a statement, or -1 to hold it.
int DecisionEngine::route(int statement, TimePoint now) {
  const StatementState& st = statements_[statement];
  const Workload& w = settings_.workloads[st.workload];
  if (w.level == Level::write) return routeCurrent(statement, now);
  GroupState& g = groups_[st.group];
  std::vector<int> fit, hosting;
  bool known = false, awaited = false, bounded = w.level == Level::bounded;
  // Danger: a replica may hold up its log for a long read; spread over all, they leave none fresh.
  // They fill members in list order and wait before they take one more; short reads that any may
  // answer go there first.
  bool packed = longRead(st.workload), hosted = w.level == Level::any && !packed && anyLongRead();
  int rank = 0, members = static_cast<int>(g.members.size());
  int most = std::max(1, static_cast<int>(members * kLongMembers));
  int taken = std::min(most, 1 + static_cast<int>((now - st.arrived) / (w.slo * kSpill)));
  // Danger: many fronts that all fill one host first overrun it; they take hosts by the work of
  // long reads.
  if (many()) taken = most = hostsAtOnce(members);
  for (int s : g.members) {
    if (s == g.primary || stores_.listed[s] != EndpointStatus::up) continue;
    rank += mayHost(s);
    if (!usable(s, now) || shareOf(s) <= 0 || (packed && (rank > taken || rank < 1))) continue;
    bool shut = bounded && stores_.position[s] > kNever && stores_.drained[s][st.workload];
    awaited |= stores_.probing[s] && !shut;
    if (!measured(s, st, now)) continue;
    known = true;
    if (!room(s, statement, now)) continue;
    if (!hosted || rank > most)
      fit.push_back(s);
    else if (stores_.limit[s] < 1 ? stores_.freeAt[s] <= now
                                  : stores_.out[s] < stores_.limit[s] * kHostShare)
      hosting.push_back(s);
  }
  // Danger: a light front hears too late that short reads fill a host; there they take hosts like
  // any other.
  if (many()) fit.insert(fit.end(), hosting.begin(), hosting.end()), hosting.clear();
  if (!hosting.empty() || !fit.empty())
    return fewest(hosting.empty() ? fit : hosting, statement, now);
  // Danger: at many fronts nearly every bounded read needs a look, and half of them find the
  // replica too old. Where the primary has room for it, it goes there, as the design has it of any
  // that is not placed.
  if (many() && bounded && primaryRoom(g, statement, now)) return g.primary;
  // Reads await a probe answer that is under way, but not for long.
  if (!known && awaited && now - st.arrived < w.slo * kSearchGap) return -1;
  if (packed && rank > 0) return -1;
  return routeCurrent(statement, now);
}

int DecisionEngine::routeCurrent(int statement, TimePoint now) {
  const StatementState& st = statements_[statement];
  const Workload& w = settings_.workloads[st.workload];
  GroupState& g = groups_[st.group];
  bool bounded = w.level == Level::bounded;
  if (settings_.storesRejectStaleReads && w.level != Level::write && w.level != Level::any &&
      st.tries < 1 + bounded) {
    int best = -1;
    for (int s : g.members) {
      // Danger: probes may fail where statements don't. A drained replica that is due a look gets a
      // read.
      bool shut = boundedDrained(s) && !(bounded && stores_.probeDue[s] <= now);
      if (s == g.primary || shut || !usable(s, now) || !room(s, statement, now)) continue;
      if (best < 0 || stores_.position[s] > stores_.position[best]) best = s;
    }
    if (best >= 0 && boundedDrained(best))
      stores_.probeDue[best] = now + smallestBound_ * kSlowestPace;
    if (best >= 0) return best;
  }
  // Danger: a report may be untrue. Until the store itself has answered as primary it gets writes,
  // which a replica turns away untouched, but no read that must be current.
  if (g.primary >= 0 && g.named == RoleEvidence::reported && !settings_.storesRejectStaleReads &&
      w.level != Level::write && w.level != Level::any)
    return -1;
  if (primaryUsable(g, now)) return room(g.primary, statement, now) ? g.primary : -1;
  return w.level == Level::write ? searchTurn(statement, now) : -1;
}

// ---- 1. primary search ----

bool DecisionEngine::primaryUsable(const GroupState& g, TimePoint now) const {
  return g.primary >= 0 && usable(g.primary, now);
}

// Has it room for a bounded read that needs no look? Not while cold or after a cut: writes come
// first there. A report alone is no proof of the role, and stores that check need none.
bool DecisionEngine::primaryRoom(const GroupState& g, int statement, TimePoint now) const {
  if (!primaryUsable(g, now) || g.named == RoleEvidence::reported ||
      settings_.storesRejectStaleReads)
    return false;
  return stores_.limit[g.primary] >= firstLimit_ && !doubted(g.primary, now) &&
         warmth(g.primary, now) >= 1 && room(g.primary, statement, now);
}

void DecisionEngine::namePrimary(int g, int s, RoleEvidence named, TimePoint now) {
  groups_[g].primary = s, groups_[g].named = named, groups_[g].primarySince = now;
  groups_[g].moved |= named != RoleEvidence::listed;
}

// `at`: when the store was in that role. Danger: an answer may be read long after it was written,
// or overtake one to what was sent later. As a primary's it counts from the send, as a replica's
// from now; a report from its position.
void DecisionEngine::learnRole(int s, Role role, TimePoint at, bool byReport, TimePoint now) {
  if (role == Role::unknown || stores_.group[s] < 0) return;
  GroupState& g = groups_[stores_.group[s]];
  if (role == Role::primary) {
    if (at <= stores_.replicaAt[s]) return;
    if (!byReport && at <= stores_.doubtedAt[s]) return;
    // Danger: a report may come between the send of what it answers as primary and that answer, and
    // seem newer.
    if (!byReport && g.primary == s) g.named = RoleEvidence::confirmed;
    if (at <= stores_.primaryAt[s]) return;
    stores_.primaryAt[s] = at, stores_.role[s] = role;
    // Danger: two stores claim the role; the one seen in it last has it.
    if (g.primary != s && (g.primary < 0 || stores_.primaryAt[g.primary] < at))
      namePrimary(stores_.group[s], s, byReport ? RoleEvidence::reported : RoleEvidence::confirmed,
                  now);
    else if (g.primary == s && !(byReport && g.named == RoleEvidence::reported))
      g.named = RoleEvidence::confirmed;
  } else {
    // Danger: a report that seems older than its last sight as primary may be new, of one that
    // stood still.
    doubtRole(s, now);
    if (at < stores_.primaryAt[s])
      return;  // or it is old, and says nothing about a store promoted since
    stores_.role[s] = role;
    stores_.replicaAt[s] = std::max(stores_.replicaAt[s], at);
    if (g.primary == s) g.primary = -1, g.moved = true;
  }
}

// Until it has answered as primary to what is sent from now on it gets writes, as one that a report
// alone names, but no read that must be current.
void DecisionEngine::doubtRole(int s, TimePoint now) {
  GroupState& g = groups_[stores_.group[s]];
  stores_.doubtedAt[s] = now;
  if (g.primary == s && g.named == RoleEvidence::confirmed) g.named = RoleEvidence::reported;
}

// Danger: a primary that died comes back as a replica whose position stands where it was last seen
// as primary; its reports seem older than that. Any report tells what it is, and its role is
// doubted.
void DecisionEngine::startedAnew(int s, TimePoint now) {
  stores_.primaryAt[s] = kNever;
  doubtRole(s, now);
}

// While no primary is known or it is silent, writes try members in turn, one at a time for each
// group.
int DecisionEngine::searchTurn(int statement, TimePoint now) {
  StatementState& st = statements_[statement];
  GroupState& g = groups_[st.group];
  int members = static_cast<int>(g.members.size());
  if (st.tries >= std::min(members, (settings_.maxAttempts + 1) / 2)) return -1;
  Duration slo = settings_.workloads[st.workload].slo, again = slo * kSearchAgain;
  if (now - g.searched < slo * kSearchGap) return -1;
  // Danger: a jammed primary looks silent to a light front, whose writes would spend their tries on
  // replicas.
  if (g.primary >= 0 && !stores_.down[g.primary]) again = std::max(again, stores_.block[g.primary]);
  for (int k = 0; k < members; ++k) {
    int s = g.members[(g.turn + k) % members];
    if (!usable(s, now) || !room(s, statement, now)) continue;
    // A member that has just answered as a replica is none yet.
    if (now - stores_.replicaAt[s] < again) continue;
    g.turn = (g.turn + k + 1) % members, g.searched = now;
    return s;
  }
  return -1;
}

// ---- 2. probe timing ----

// The next look at a replica that lags this far or stands still: it can't be fresh much sooner.
void DecisionEngine::lookLater(int s, Duration lag, Duration least, TimePoint now) {
  stores_.probeDue[s] = now +
                        std::min(std::max(least, lag * kLagPace), smallestBound_ * kSlowestPace);
}

// Reports are renewed at a steady pace: learn it, and the age a report has at the earliest.
void DecisionEngine::learnRefresh(int s, TimePoint position, TimePoint now) {
  TimePoint before = stores_.reported[s], asked = std::exchange(stores_.probedAt[s], now);
  Duration age = now - position, pace = smallestBound_ * kFirstPace;
  stores_.reported[s] = position;
  if (age >= (refresh_ + reportAge_) * kLagging) return lookLater(s, age, refresh_, now);
  if (position > before) {
    // The report was renewed after the last look, and is renewed again a period later.
    stores_.renewal[s] = std::max(asked, now - refresh_) + refresh_;
    if (age < smallestBound_) {
      reportAge_ = std::min(reportAge_ * (1 + kDrift), age);
      stores_.renewal[s] = std::max(stores_.renewal[s],
                                    position + refresh_ + reportAge_ * (1 + kFirstPace));
      // Reports of a store that catches up or falls behind stand closer or further apart than they
      // are made.
      Duration gap = before > kNever ? position - before : refresh_;
      gap = gap * (1 / std::max(1.0, std::round(gap / refresh_)));
      if (gap > refresh_ * kLikely) refresh_ = refresh_ + (gap - refresh_) * kLearn;
    }
  }
  // Danger: probes at the reports' own pace may meet each one at its oldest and never see the
  // replica fresh.
  stores_.probeDue[s] = std::max(now + pace, stores_.renewal[s]);
}

// How far behind a replica is taken to be, which says whose look is the likeliest to help. Danger:
// a light front knows little of most; one that was never seen may be fresh, but not where it hosts
// long reads.
Duration DecisionEngine::supposedLag(int s, bool host) const {
  if (!boundedDrained(s)) return {};
  if (!many()) return smallestBound_;
  if (stores_.position[s] == kNever) return smallestBound_ * (host ? kSlowestPace : kLagging);
  return stores_.probedAt[s] - stores_.position[s];
}

void DecisionEngine::probeRound(TimePoint now, DecisionSink& out) {
  if (!settings_.mayProbe) return;
  bool packed = many() && anyLongRead();
  for (GroupState& g : groups_) {
    bool lost = !primaryUsable(g, now), writes = false, unseen = false;
    double unplaced = 0, have = 0;
    int first = -1, rank = 0, hosts = packed ? hostsAtOnce(static_cast<int>(g.members.size())) : 0;
    for (int statement : g.waiting) {
      Level level = settings_.workloads[statements_[statement].workload].level;
      if (level == Level::bounded && unplaced++ == 0) first = statement;
      writes |= level == Level::write || level == Level::fresh;
    }
    std::vector<std::pair<Duration, int>> due;
    for (int s : g.members) {
      bool young = now - stores_.position[s] < smallestBound_ * kReentry;
      // One looked at in vain just now counts too: when all stand at one commit, one look is
      // enough.
      bool looked = now - stores_.probedAt[s] < smallestBound_ * kFirstPace;
      // Danger: at many fronts most replicas have no room for one more read from here; fresh or
      // not, they are no help, and a look in vain at one of them tells little of the next.
      bool helps = !many() || first < 0 || room(s, first, now);
      have += stores_.probing[s] || (s != g.primary && helps && (young || (looked && !many())));
      rank += mayHost(s);
      if (stores_.probing[s] || stores_.listed[s] != EndpointStatus::up) continue;
      bool mayLook = stores_.zone[s] < 0 || zones_[stores_.zone[s]].looks;
      if (stores_.down[s] && stores_.blockedUntil[s] <= now && mayLook)
        stores_.probing[s] = 1, out.probe(s);
      if (stores_.down[s] || now < stores_.probeDue[s] || doubted(s, now) || !mayLook) continue;
      if (!helps && !(lost && writes)) continue;
      if (stores_.position[s] == kNever || (!young && s != g.primary && usable(s, now)) ||
          (lost && writes))
        due.emplace_back(supposedLag(s, rank <= hosts), s);
      unseen |= !due.empty() && due.back().second == s && stores_.position[s] == kNever && !many();
    }
    // Danger: with many fronts, each with little traffic, probing all replicas costs more than the
    // reads do. There the one that lagged least when last seen is asked first, hosts of long reads
    // last, one at a time.
    if (many()) std::shuffle(due.begin(), due.end(), chance_);
    double flow = g.boundedRate * smallestBound_.seconds();
    bool wanted = !settings_.storesRejectStaleReads && unplaced > 0 &&
                  !(many() && primaryRoom(g, first, now));
    double want = wanted ? 1 + kLead * (flow + unplaced * kSoft) : 0;
    if (many()) want = std::floor(want);
    // Danger: of hundreds of replicas nearly all are due a look at all times, and most rounds ask
    // none.
    if (!unseen && (probeBudget_ < 1 || (have >= want && !(lost && writes && have < 1)))) continue;
    std::stable_sort(due.begin(), due.end(), [&](const auto& a, const auto& b) {
      return std::pair(a.first, stores_.probeDue[a.second]) <
             std::pair(b.first, stores_.probeDue[b.second]);
    });
    for (auto [lag, s] : due) {
      bool fresh = stores_.position[s] == kNever && !many();
      if (!fresh && (probeBudget_ < 1 || (have >= want && !(lost && writes && have < 1)))) continue;
      stores_.probeDue[s] = now + refresh_;
      ++have, probeBudget_ -= !fresh;
      stores_.probing[s] = 1, out.probe(s);
    }
  }
}

void DecisionEngine::onProbeNotSent(int s, TimePoint now) {
  stores_.probing[s] = 0, stores_.probeDue[s] = now + smallestBound_ * kFirstPace;
}

void DecisionEngine::onProbeEnded(int s, bool ok, const ReplicaReport& report, TimePoint now,
                                  Role role) {
  stores_.probing[s] = 0;
  // Danger: what an answer says beside its report counts as known too, and the report may be older.
  if (role == Role::replica) learnRole(s, role, now, false, now);
  // Danger: one probe whose connection broke tells nothing; a replica unseen for long gets no
  // bounded reads.
  bool vain = (stores_.missed[s] = ok ? 0 : stores_.missed[s] + 1) > 1 || many();
  if (!ok) stores_.probeDue[s] = now + smallestBound_ * (vain ? kSlowestPace : kFirstPace);
  if (!ok && stores_.down[s]) stores_.dead[s] |= vain, blockStore(s, now, true);
  if (!ok) return;
  tellZone(s, true, now);
  // Danger: where one that runs has no room for connections, most of a squeezed fleet's stores have
  // none.
  if (stores_.down[s] && !stores_.dead[s] && many()) crowdedAt_ = now;
  // Danger: a store that was only cut off is not cold. A dead primary of several would have lost
  // its role.
  bool kept = report.position && report.primary.value_or(false) &&
              *report.position > stores_.blockedAt[s];
  if (kept && groups_[stores_.group[s]].members.size() > 1) stores_.dead[s] = 0;
  if (stores_.down[s] && stores_.dead[s]) startedAnew(s, now);
  if (stores_.down[s]) healed(s, now);
  if (report.position) {
    if (now - *report.position < smallestBound_)
      probeBudget_ = std::min(kProbesCap, probeBudget_ + 1);
    learnRefresh(s, *report.position, now);
    learnPosition(s, *report.position, refresh_ + reportAge_, now);
    if (report.primary)
      learnRole(s, *report.primary ? Role::primary : Role::replica, *report.position, true, now);
  }
}

// ---- 3. health from outcomes ----

bool DecisionEngine::usable(int s, TimePoint now) const {
  // Danger: a statement that tries a dead or cut off store waits for a connection; probes try it
  // instead.
  return stores_.listed[s] == EndpointStatus::up && stores_.blockedUntil[s] <= now &&
         !(stores_.down[s] && settings_.mayProbe);
}

// Danger: when a zone is lost, each front would find out store by store, at the cost of a statement
// each.
bool DecisionEngine::doubted(int s, TimePoint now) const {
  int z = stores_.zone[s];
  return z >= 0 && zones_[z].missed >= kZoneMisses &&
         now - zones_[z].missedAt < settings_.connectTimeout * kBlockCap;
}

void DecisionEngine::tellZone(int s, bool heard, TimePoint now) {
  if (stores_.zone[s] < 0) return;
  ZoneState& z = zones_[stores_.zone[s]];
  z.missed = heard ? 0 : z.missed + 1;
  if (!heard) z.missedAt = now;
}

void DecisionEngine::blockStore(int s, TimePoint now, bool down) {
  Duration first = settings_.connectTimeout;
  stores_.block[s] = stores_.block[s] > Duration{}
                         ? std::min(stores_.block[s] * 2, first * kBlockCap)
                         : first;
  stores_.blockedUntil[s] = now + stores_.block[s], stores_.blockedAt[s] = now,
  stores_.down[s] |= down;
}

void DecisionEngine::healed(int s, TimePoint now) {
  // Danger: a process that died and answers again is cold long before the list says that it
  // started. One that refused a connection but answered every probe had no room for one: it was
  // never away.
  if (stores_.dead[s] || (stores_.down[s] && !settings_.mayProbe)) begins(s, now, now);
  unblock(s);
}

void DecisionEngine::unblock(int s) {
  stores_.down[s] = stores_.dead[s] = 0, stores_.blockedUntil[s] = kNever, stores_.block[s] = {};
}

void DecisionEngine::learnHealth(int s, int workload, const AttemptResult& r, TimePoint sent,
                                 bool paced, TimePoint now) {
  Stores& stores = stores_;
  Duration slo = settings_.workloads[workload].slo, &usual = typical_[workload];
  bool well = r.outcome == AttemptOutcome::ok || r.outcome == AttemptOutcome::notServedHere ||
              r.outcome == AttemptOutcome::invalid;
  // Danger: one answer spoilt or cut off is no death; but of many fronts each sees no more of one
  // than that.
  bool ended = r.outcome == AttemptOutcome::reset;
  bool wrong = r.outcome == AttemptOutcome::error ||
               r.outcome == AttemptOutcome::malformedResponse || (ended && !many());
  if (well || wrong || r.outcome == AttemptOutcome::overloaded)
    stores.lastResponse[s] = now, tellZone(s, true, now);
  if (r.outcome == AttemptOutcome::connectFailed || ended) tellZone(s, false, now);
  if (well) healed(s, now);
  crowd_ += kLearn * 0.5 * ((r.outcome == AttemptOutcome::connectFailed) - crowd_);
  if (r.outcome == AttemptOutcome::ok) {
    stores.successRate[s] += kLearn * (1 - stores.successRate[s]);
    stores.speed[s] += kLearn * 0.5 * (r.elapsed / usual - stores.speed[s]);
    usual = usual + (std::min(r.elapsed, slo) - usual) * (kLearn * 0.2);
    if (r.elapsed > slo * kSlowAnswer)
      cutLimit(s, sent, now, r.elapsed > slo * kSlowAnswer * kJam);
    else if (paced && stores.out[s] + 1 >= stores.limit[s] * 0.5)
      setLimit(s, stores.limit[s] + std::min(stores.limit[s] * kGrow, 1 / stores.limit[s]), now);
  } else if (wrong) {
    stores.successRate[s] -= kLearn * stores.successRate[s];
  } else if (r.outcome == AttemptOutcome::overloaded) {
    cutLimit(s, sent, now, true);
    if (stores.out[s] == 0) blockStore(s, now, false);
  } else if (r.outcome == AttemptOutcome::connectFailed || ended) {
    if (!ended && many()) stores.crowdedAt[s] = now;
    if (!ended && !many() && crowd_ > kCrowded) crowdedAt_ = now;
    stores.dead[s] |= ended;
    // What was sent before the block tells nothing new, nor one connection of a store that answers
    // on others.
    bool first = std::exchange(stores.refusedAt[s], now) <= stores.lastResponse[s] &&
                 now - stores.lastResponse[s] < smallestSlo_;
    if (sent >= stores.blockedAt[s] && sent >= stores.lastResponse[s] && (!first || many()))
      blockStore(s, now, true);
  }
}

// ---- 4. in-flight limit with shedding ----

bool DecisionEngine::room(int s, int statement, TimePoint now) const {
  const StatementState& st = statements_[statement];
  for (const Attempt& e : st.attempts)
    if (e.out && e.store == s) return false;
  Level level = settings_.workloads[st.workload].level;
  bool current = level == Level::write || level == Level::fresh;
  double share = longRead(st.workload) ? kLongRoom : 1;
  if (s == groups_[st.group].primary && !current) share = kReadShare;
  // Danger: many fronts with one each are too many already. Below one the limit spaces sends out in
  // time, by the work they bring: some ahead of their time, writes the most; reads at the primary
  // hang back.
  double limit = stores_.limit[s], ahead = share < 1 ? -1 : 1;
  if (current)
    ahead = std::max(1.0, kAhead * std::min(1.0, limit / firstLimit_));  // less where it was cut
  double least = limit < 1 && current ? kAhead : 1;
  if (stores_.out[s] >= std::max(least, std::floor(limit * share))) return false;
  if (limit < 1 && now + typical_[st.workload] * (ahead / limit) < stores_.freeAt[s]) return false;
  return warmth(s, now) >= 1 || stores_.coldBudget[s] > 0;
}

// One cut for all that was sent before the last one: they tell of the same jam. Danger: a light
// front hears of a full or long queue once in seconds; one step would leave it standing.
void DecisionEngine::cutLimit(int s, TimePoint sent, TimePoint now, bool jam) {
  if (sent < stores_.cutAt[s]) return;
  stores_.cutAt[s] = now;
  double part = jam && stores_.limit[s] < 1 ? kCutJam : kCut;
  setLimit(s, std::max(1.0 / settings_.proxyCount, stores_.limit[s] * part), now);
}

// Danger: work sent ahead of a pace that was cut would be owed for minutes after the pace has come
// back. What is owed is work; how long it takes follows the pace.
void DecisionEngine::setLimit(int s, double limit, TimePoint now) {
  double before = std::exchange(stores_.limit[s], limit);
  if (stores_.freeAt[s] > now)
    stores_.freeAt[s] = now + (stores_.freeAt[s] - now) * (before / limit);
}

// The time that must be left for a start to be of use.
Duration DecisionEngine::startTime(int w) const {
  return std::max(typical_[w],
                  std::min(typical_[w] * kStart, settings_.workloads[w].slo * kStartShare));
}

// Beyond its share a tenant's work is worth little. Shares are taken as this front's part of all
// traffic.
void DecisionEngine::countTenant(StatementState& st, TimePoint now) {
  if (st.tenant < 0 || quotas_ <= 0) return;
  double tau = memory_.seconds(), rates = 0;
  double passed = (now - std::max(tenantsAt_, now - memory_ * 4)).seconds();
  tenantsAt_ = now;
  for (std::size_t k = 0; k < tenants_.size(); ++k) {
    tenants_[k].rate = tenants_[k].rate * std::exp(-passed / tau) +
                       (static_cast<int>(k) == st.tenant ? 1 / tau : 0);
    rates += tenants_[k].rate;
  }
  double part = std::max(1.0 / settings_.proxyCount, rates / quotas_);
  for (std::size_t k = 0; k < tenants_.size(); ++k) {
    double fill = settings_.tenants[k].quota * part;
    tenants_[k].tokens = std::min(tenants_[k].tokens + fill * passed, std::max(1.0, fill * tau));
  }
  st.overShare = tenants_[st.tenant].tokens < 1, tenants_[st.tenant].tokens -= !st.overShare;
}

bool DecisionEngine::late(const StatementState& st, TimePoint now) const {
  return now + startTime(st.workload) > st.arrived + settings_.workloads[st.workload].slo;
}

double DecisionEngine::standing(const StatementState& st, TimePoint now) const {
  const Workload& w = settings_.workloads[st.workload];
  return w.importance * (st.overShare ? settings_.overQuotaImportance : 1) *
         (late(st, now) ? w.lateShare : 1);
}

void DecisionEngine::dispatch(int g, TimePoint now, DecisionSink& out) {
  std::vector<int>& waiting = groups_[g].waiting;
  std::erase_if(waiting, [&](int statement) {
    return !statements_[statement].open || isOut(statements_[statement]);
  });
  auto first = [&](int a, int b) {
    return standing(statements_[a], now) > standing(statements_[b], now);
  };
  std::stable_sort(waiting.begin(), waiting.end(), first);
  std::vector<char> stuck(settings_.workloads.size(), 0);
  std::vector<int> left;
  for (int statement : waiting) {
    StatementState& st = statements_[statement];
    Level level = settings_.workloads[st.workload].level;
    int s = -1;
    if (st.notBefore <= now && !stuck[st.workload]) {
      s = route(statement, now);
      if (s >= 0 && !mayRunAgain(st, s, now)) s = -1;
      if (s < 0 && level == Level::bounded) stuck[st.workload] = 1;
    }
    s >= 0 ? send(statement, s, now, out) : left.push_back(statement);
  }
  waiting = std::move(left);
}

// A statement that can't do any good any more is answered at once, so that its client may go on.
void DecisionEngine::shed(int g, TimePoint now, DecisionSink& out) {
  GroupState& group = groups_[g];
  for (int statement : group.waiting) {
    const StatementState& st = statements_[statement];
    const Workload& w = settings_.workloads[st.workload];
    bool lost = w.level != Level::any && !primaryUsable(group, now);
    bool hopeless = now + startTime(st.workload) > st.giveUpAt || !mayRunAgain(st, -1, now);
    // Past its SLO time it waits for a primary, or if still worth much, and leaves its client time
    // to retry.
    bool worth = w.lateShare >= kWorthWaiting || (lost && w.lateShare > 0);
    bool waited = now - st.arrived > (st.giveUpAt - st.arrived) * kLateWait;
    if (hopeless || (late(st, now) && (!worth || waited))) giveUp(statement, out);
  }
  std::erase_if(group.waiting, [&](int statement) { return !statements_[statement].open; });
}

void DecisionEngine::giveUp(int statement, DecisionSink& out) {
  StatementState& st = statements_[statement];
  if (!st.open) return;
  for (std::size_t k = 0; k < st.attempts.size(); ++k)
    if (st.attempts[k].out && settings_.mayCancel) out.cancel(statement, static_cast<int>(k));
  st.open = false;
  if (!harmless(st)) return out.abort(statement);
  Duration back = settings_.workloads[st.workload].slo * kRetryAfterShare;
  out.reject(statement, settings_.repliesWithRetryAfter ? std::min(settings_.maxRetryAfter, back)
                                                        : Duration{});
}

// ---- 5. time-outs and further attempts ----

bool DecisionEngine::isOut(const StatementState& st) const {
  return std::any_of(st.attempts.begin(), st.attempts.end(),
                     [](const Attempt& e) { return e.out; });
}

// May a client be told that trying again does no harm?
bool DecisionEngine::harmless(const StatementState& st) const {
  const Workload& w = settings_.workloads[st.workload];
  if (w.effect == Effect::idempotent) return true;
  bool ran = false;
  for (const Attempt& e : st.attempts) ran |= e.mayHaveRun;
  return !ran || (w.effect == Effect::deduplicated && w.scope == Scope::everywhere);
}

// May it be sent to this store now, after all that was sent before?
bool DecisionEngine::mayRunAgain(const StatementState& st, int s, TimePoint now) const {
  const Workload& w = settings_.workloads[st.workload];
  if (static_cast<int>(st.attempts.size()) >= settings_.maxAttempts) return false;
  if (!settings_.allowsHedging && isOut(st)) return false;
  if (w.effect == Effect::idempotent) return true;
  for (const Attempt& e : st.attempts) {
    if (!e.mayHaveRun) continue;
    if (w.effect == Effect::nonIdempotent) return false;  // danger: a second effect
    if (now + settings_.tick - e.sent >= w.deduplicationWindow)
      return false;  // danger: the store has forgotten the mark
    if (w.scope == Scope::zone && s >= 0 && stores_.zone[s] != stores_.zone[e.store]) return false;
    if (w.scope == Scope::group && s >= 0 && stores_.group[s] != stores_.group[e.store])
      return false;
  }
  return true;
}

// Danger: a store that takes work and answers nothing shows only by the answers it owes, by usual
// times.
std::vector<double> DecisionEngine::answersMissing(TimePoint now) const {
  std::vector<double> missing(stores_.group.size(), 0);
  for (int statement : open_)
    for (const Attempt& e : statements_[statement].attempts) {
      int s = e.store;  // where answers take little of the SLO time, one lost connection looks like
                        // silence
      if (!e.out || now - stores_.lastResponse[s] < smallestSlo_ * kSilentShare) continue;
      double owed = (now - std::max(stores_.lastResponse[s], e.sent)) /
                    typical_[statements_[statement].workload];
      missing[s] += many() ? owed : e.sent < stores_.blockedAt[s] ? 0 : std::min(owed, kWitness);
    }
  return missing;
}

void DecisionEngine::superviseAttempts(TimePoint now, DecisionSink& out) {
  std::vector<double> missing = answersMissing(now);
  for (std::size_t s = 0; s < missing.size(); ++s)
    if (missing[s] > kSilent && stores_.blockedUntil[s] <= now)
      blockStore(static_cast<int>(s), now, false);
  for (int statement : open_) {
    StatementState& st = statements_[statement];
    if (!st.open) continue;
    // Danger: the client leaves at its time, and an answer after that breaks the rule.
    if (now + settings_.tick * 2 >= st.giveUpAt) giveUp(statement, out);
    if (!st.open || !isOut(st)) continue;
    const Workload& w = settings_.workloads[st.workload];
    GroupState& g = groups_[st.group];
    for (std::size_t k = 0; k < st.attempts.size(); ++k) {
      Attempt e = st.attempts[k];
      if (!e.out || e.cancelled) continue;
      Duration age = now - e.sent, usual = typical_[st.workload];
      bool silent = missing[e.store] > kSilent && age > usual;
      bool moved = w.level == Level::write && g.primary >= 0 && g.primary != e.store &&
                   g.primarySince > e.sent;
      bool overdue = w.effect == Effect::idempotent &&
                     (silent || age > std::max(usual * kOverdue, w.slo * kOverdueShare));
      if (overdue && !e.overdue) {
        // Danger: a store that answers some and leaves others out is neither silent nor full of
        // errors.
        st.attempts[k].overdue = true;
        if (stores_.lastResponse[e.store] < e.sent) tellZone(e.store, false, now);
        stores_.successRate[e.store] -= kOverdueHurts * stores_.successRate[e.store];
        cutLimit(e.store, e.sent, now);
      }
      if (settings_.mayCancel && (moved || (overdue && silent && !settings_.allowsHedging))) {
        st.attempts[k].cancelled = true;
        out.cancel(statement, static_cast<int>(k));
      } else if (overdue && settings_.allowsHedging && furtherBudget_ >= 1 &&
                 k + 1 == st.attempts.size()) {
        int s = route(statement, now);
        if (s < 0 || !mayRunAgain(st, s, now)) continue;
        furtherBudget_ -= 1;
        send(statement, s, now, out);
        break;
      }
    }
  }
}

// ---- 6. cold share by age ----

double DecisionEngine::warmth(int s, TimePoint now) const {
  if (stores_.started[s] == kNever || now - stores_.started[s] >= settings_.warmUpTime) return 1;
  double age = std::max(0.0, (now - stores_.started[s]) / settings_.warmUpTime);
  return settings_.coldInitialShare + (1 - settings_.coldInitialShare) * age;
}

// Danger: hundreds of fronts, each with a budget of less than one statement, would all send their
// first one at once. Each starts in debt by a random part of one, so that together they send what
// they have earned. A debt by the dearest one's work would keep a store empty until it is warm.
void DecisionEngine::begins(int s, TimePoint at, TimePoint now) {
  if (at <= stores_.started[s]) return;
  stores_.started[s] = at, stores_.successRate[s] = 1, stores_.coldFilled[s] = now;
  stores_.coldBudget[s] = -unit(chance_),
  stores_.crowdedAt[s] = kNever;  // its table is empty again
}

// What is left by now of a rate as it stood after the last arrival.
double DecisionEngine::remembered(const GroupState& g, TimePoint now) const {
  return std::exp(-((now - g.rated) / memory_));
}

// In statements of mean work. Danger: fronts don't see one another; each keeps to its part by a
// member's usual work, of which a statement that comes brings a share; the last one says little of
// a light front.
void DecisionEngine::fillCold(int s, TimePoint now) {
  if (stores_.group[s] < 0 || warmth(s, now) >= 1) return;
  const GroupState& g = groups_[stores_.group[s]];
  double members = std::max<double>(1, static_cast<double>(g.members.size()));
  double offered = g.workRate * remembered(g, now);
  double rate = settings_.coldOverloadMultiple * kColdHeadroom * warmth(s, now) * offered /
                (members * meanWork_);
  stores_.coldBudget[s] = std::min(
      stores_.coldBudget[s] + rate * (now - stores_.coldFilled[s]).seconds(),
      rate * settings_.coldOverloadWindow.seconds() * kColdBurst);
  stores_.coldFilled[s] = now;
}

void DecisionEngine::send(int statement, int s, TimePoint now, DecisionSink& out) {
  StatementState& st = statements_[statement];
  const Workload& w = settings_.workloads[st.workload];
  bool paced = stores_.limit[s] >= 1 || stores_.freeAt[s] > now;
  TimePoint leaveBy = st.giveUpAt;
  // Danger: a connection takes its time to come up; a repeat that leaves after the window takes
  // effect again.
  for (const Attempt& e : st.attempts)
    if (e.mayHaveRun && w.effect == Effect::deduplicated)
      leaveBy = std::min(leaveBy, e.sent + w.deduplicationWindow - settings_.tick);
  st.attempts.push_back({.store = s, .sent = now, .out = true, .paced = paced});
  ++stores_.out[s];
  stores_.freeAt[s] = std::max(now, stores_.freeAt[s]) +
                      typical_[st.workload] * (1 / stores_.limit[s]);
  if (warmth(s, now) < 1) stores_.coldBudget[s] -= least_[st.workload].seconds() / meanWork_;
  if (stores_.block[s] > Duration{})
    stores_.blockedUntil[s] = now + stores_.block[s];  // a trial: one at a time
  // Danger: a connection takes its time to come up; a bounded read that leaves too late is a stale
  // one.
  bool current = w.level != Level::any && w.level != Level::write &&
                 !settings_.storesRejectStaleReads;
  if (current && s != groups_[st.group].primary) {
    if (w.level == Level::bounded)
      leaveBy = std::min(leaveBy, stores_.position[s] + w.stalenessBound);
  } else if (current && settings_.responseAssumedKnownAfter > Duration{}) {
    // Danger: meanwhile an answer may tell that this is no primary any more, and counts though
    // unread.
    leaveBy = std::min(leaveBy, now + settings_.responseAssumedKnownAfter * kUnread);
  }
  out.send(statement, s, st.giveUpAt, leaveBy);
}

// ---- facts and the round ----

void DecisionEngine::onStatementArrived(int statement, const Arrival& a, TimePoint now) {
  if (static_cast<int>(statements_.size()) <= statement) statements_.resize(statement + 1);
  if (static_cast<int>(groups_.size()) <= a.group) groups_.resize(a.group + 1);
  StatementState& st = statements_[statement] = StatementState{};
  st.workload = a.workload, st.group = a.group, st.tenant = a.tenant, st.session = a.session;
  st.open = true, st.giveUpAt = a.giveUpAt;
  const Workload& w = settings_.workloads[a.workload];
  // Danger: a client that repeats has waited before; taken for new it is often late, at others'
  // cost.
  st.arrived = a.repeated ? now - w.slo * kRepeatAge : now;
  if (w.level == Level::fresh) st.needs = now;
  // At the most advanced replica a fresh read is turned away until the log has come; it waits for
  // that.
  if (w.level == Level::fresh && settings_.storesRejectStaleReads)
    st.notBefore = now + settings_.tick * 4;
  if (w.level == Level::session && settings_.readsCarrySessionToken) {
    if (a.sinceWrite) st.needs = now - *a.sinceWrite + settings_.tick;
  } else if (w.level == Level::session) {
    auto it = sessions_.find(a.session);
    st.needs = it == sessions_.end() ? sessionFloor_ : it->second;
  }
  countTenant(st, now);
  double brings = typical_[a.workload].seconds();
  allWork_ += brings, longWork_ += brings * longRead(a.workload);
  GroupState& g = groups_[a.group];
  double tau = memory_.seconds(), fade = remembered(g, now);
  g.rated = now;
  meanWork_ += (least_[a.workload].seconds() - meanWork_) * kLearn;
  g.workRate = g.workRate * fade + least_[a.workload].seconds() / tau;
  g.boundedRate = g.boundedRate * fade + (w.level == Level::bounded ? 1 / tau : 0);
  if (w.level == Level::bounded && !a.repeated)
    probeBudget_ = std::min(kProbesCap, probeBudget_ + probesEarned_);
  furtherBudget_ = std::min(kFurtherCap, furtherBudget_ + kFurther);
  open_.push_back(statement);
  g.waiting.push_back(statement);
}

void DecisionEngine::onAttemptEnded(int statement, const AttemptResult& r, TimePoint now) {
  StatementState& st = statements_[statement];
  Attempt& e = st.attempts[r.attempt];
  const Workload& w = settings_.workloads[st.workload];
  if (std::exchange(e.out, false)) --stores_.out[e.store], used_.push_back(e.store);
  e.mayHaveRun =
      !(r.outcome == AttemptOutcome::overloaded || r.outcome == AttemptOutcome::connectFailed ||
        r.outcome == AttemptOutcome::neverSent || r.outcome == AttemptOutcome::notServedHere);
  bool noPrimary = r.outcome == AttemptOutcome::notServedHere && w.level == Level::write;
  Role role = noPrimary ? Role::replica : r.role;
  learnRole(e.store, role, role == Role::primary ? e.sent : now, false, now);
  if (r.position && r.role == Role::replica) {
    learnPosition(e.store, *r.position, Duration{}, now);
    lookLater(e.store, now - *r.position, Duration{}, now);
  }
  learnHealth(e.store, st.workload, r, e.sent, e.paced, now);
  if (r.outcome == AttemptOutcome::ok) {
    least_[st.workload] = std::min(least_[st.workload] * (1 + kDrift),
                                   r.elapsed * 0.5 + least_[st.workload] * 0.5);
    if (w.level == Level::write && !settings_.readsCarrySessionToken) {
      // Danger: sessions pile up for as long as a front runs; past the cap all count as having
      // written last.
      if (sessions_.size() >= kSessionCap) {
        for (const auto& known : sessions_) sessionFloor_ = std::max(sessionFloor_, known.second);
        sessions_.clear();
      }
      TimePoint& last = sessions_.try_emplace(st.session, sessionFloor_).first->second;
      last = std::max(last, r.position.value_or(now));  // it was committed before it was answered
    }
  }
  if (r.report.position) learnPosition(e.store, *r.report.position, refresh_ + reportAge_, now);
  st.open &= !r.closed, st.tries += r.outcome == AttemptOutcome::notServedHere;
  if (!st.open) return;
  if (r.outcome == AttemptOutcome::error || r.outcome == AttemptOutcome::overloaded)
    st.notBefore = now + settings_.tick * static_cast<double>(st.attempts.size() - 1);
  if (!isOut(st)) groups_[st.group].waiting.push_back(statement);
}

void DecisionEngine::onClientClosed(int statement) {
  statements_[statement].open = false;
}

void DecisionEngine::onWake() {
  wakeAt_ = kNever;
}

// Danger: of what was read by the clock before and what is read by it now, one is wrong, and
// together they would prove a stale read fresh. Positions count as the older, what reads in hand
// need as the later of both readings; last commits, which are compared with positions alone, move
// with the clock.
void DecisionEngine::onClockStepped(Duration ahead) {
  Duration older = std::max(ahead, Duration{}), later = older - ahead;
  for (auto* known : {&stores_.position, &stores_.reported})
    for (TimePoint& at : *known) at = at > kNever ? at - older : at;
  for (int statement : open_)
    if (TimePoint& needs = statements_[statement].needs; needs > kNever) needs = needs + later;
  for (auto& known : sessions_) known.second = known.second - ahead;
  if (sessionFloor_ > kNever) sessionFloor_ = sessionFloor_ - ahead;
}

void DecisionEngine::decide(TimePoint now, DecisionSink& out) {
  if (settings_.pollsEndpoints && askAt_ > kNever && askAt_ <= now)
    askAt_ = kNever, out.pollEndpoints();
  Duration gap;
  double fade = 0;
  for (std::size_t s = 0; s < stores_.group.size(); ++s) {
    fillCold(static_cast<int>(s), now);
    if (Duration its = now - stores_.lastDecay[s]; its != gap)  // nearly always the last one's
      gap = its, fade = 1 - std::exp(-(its / (smallestSlo_ * kForget)));
    stores_.successRate[s] += fade * (1 - stores_.successRate[s]);
    stores_.speed[s] += fade * (1 - stores_.speed[s]);
    double back = std::min(1.0, firstLimit_);
    if (stores_.limit[s] < back)
      setLimit(static_cast<int>(s), stores_.limit[s] + fade * (back - stores_.limit[s]), now);
    stores_.lastDecay[s] = now;
  }
  // Danger: idle connections of hundreds of fronts fill the tables of stores that accept few.
  // Config back at all stores for one that refused, they would be made anew for each statement
  // while a zone is away.
  for (int s : used_)
    if (stores_.out[s] == 0 &&
        now - std::max(crowdedAt_, stores_.crowdedAt[s]) < settings_.warmUpTime)
      out.release(s);
  used_.clear();
  superviseAttempts(now, out);
  probeRound(now, out);  // before reads are placed: they may await the answer
  for (int g = 0; g < static_cast<int>(groups_.size()); ++g)
    dispatch(g, now, out), shed(g, now, out);
  std::erase_if(open_, [&](int statement) { return !statements_[statement].open; });
  Duration pace = settings_.tick * (open_.empty() ? 8 : 2);
  if (wakeAt_ <= now) wakeAt_ = now + pace, out.wake(pace);
}

}  // namespace reedchute

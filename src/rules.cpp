// The decision module: every decision, table and tuned value of reedchute stands in this file.
//
// How to call it: the interface is src/rules.h. Build a Rules with the Terms that the platform hands out,
// feed it the facts of a round in order (entry, arrived, resolved, probed, ...), then call decide(now,
// writer) once; all answers go straight into the writer. An instance shares nothing with any other.
//
// The design (docs/design.md): lag weights reads by a line between soft and hard, drains at the read's bound
// with a re-entry gap, and picks the fewest outstanding per unit of weight. Beside it stand six mechanisms:
//   1. primary search                   2. probe timing           3. health from outcomes
//   4. in-flight limit with shedding    5. time-outs and further executions    6. cold share by age
#include "rules.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace reedchute {
namespace {

// The curve, as shares of the read's bound.
constexpr double kSoft = 0.25;
constexpr double kFloor = 0.10;
constexpr double kReentry = 0.92;  // above the age that a report has when it comes in, or few would return
constexpr double kSpill = 0.1;     // of the SLO time that a long read waits before it takes one more replica
constexpr double kLongMembers = 0.34;  // of a group that long reads may take at the most
constexpr double kHostMargin = 1.5;    // hosts for each whole member's work of long reads, at many fronts
constexpr double kHostShare = 0.5;     // of a host's limit that short reads may fill
constexpr double kSlowStart = 10;      // SLO times (the smallest) over which a returned replica ramps up
// The list, as shares of the time after which a front must have asked.
constexpr double kAskFirst = 0.1;
constexpr double kAskLast = 0.5;
constexpr double kAskAnyway = 0.1;  // of the time after which what it has counts as told all the same
// Primary search.
constexpr double kSearchGap = 0.1;    // of the workload's SLO time, between two tries at members in turn
constexpr double kSearchAgain = 0.5;  // of the SLO time, before a member seen as replica is tried again
constexpr double kUnread = 0.5;       // of the time after which an answer's word counts, that a read may wait
// Probe timing.
constexpr double kFirstPace = 0.3;   // of the smallest bound, until the reports' period is known
constexpr double kDrift = 0.01;      // by which a smallest figure rises again at each sample
constexpr double kLagPace = 0.25;    // of a lagging replica's lag: it can't be fresh much sooner
constexpr double kSlowestPace = 10;  // smallest bounds between two probes of a store that is wanted
constexpr double kLagging = 1.5;  // times the oldest a healthy replica's report can be
constexpr double kLikely = 0.6;   // of the period learned: two reports closer than that tell no period
constexpr double kProbeSpend = 0.06;  // of a statement's worth: probes earned by each bounded read
constexpr double kProbesMost = 4;     // probes that one read earns at the most, and
constexpr double kProbesCap = 16;     // that a front may have in hand
constexpr double kLead = 0.75;    // measured replicas wanted for each bounded read in flight
// Health.
constexpr double kLearn = 0.1;        // weight of one outcome in a running share
constexpr double kFirstUsual = 0.25;  // of the SLO time, taken as usual until answers tell
constexpr double kWell = 0.5;         // good share from which a store takes its turn as host of long reads
constexpr double kCrowded = 0.06;  // share of refused connections from which stores have no room for them
constexpr double kForget = 8;         // SLO times after which a bad share is mostly forgotten
constexpr int kZoneMisses = 3;         // tries in vain in a zone with no word from it between: it is doubted
constexpr double kZoneDoubt = 0.02;    // of its replicas' weight that is left then
constexpr double kBlockCap = 8;       // connect time-outs: the longest block
// In-flight limit.
constexpr double kFirstLimit = 4;
constexpr double kTogether = 8;  // executions that all fronts together start with at a store
constexpr double kAhead = 8;     // usual gaps by which writes may run ahead of a pace below one
constexpr double kGrow = 0.3;    // of itself, by which a limit below one grows
constexpr double kCut = 0.7;
constexpr double kCutJam = kCut * kCut * kCut;  // where limits stand below one, and the answer tells of a jam
constexpr double kJam = 2;  // times as slow as one that cuts at all
constexpr double kLagCut = 0.25;     // of the bound: more lag than that cuts the limit too
constexpr double kSlowAnswer = 0.3;  // of the SLO time: an answer slower than that cuts the limit
constexpr double kReadShare = 0.75;  // of the primary's limit that reads may fill
constexpr double kLongRoom = 2;      // of a replica's limit that long reads may fill where they are packed
constexpr double kStart = 2;         // usual times that must be left before the SLO time for a start to be
constexpr double kStartShare = 0.7;  // in time, up to this share of it where that is above one usual time
constexpr double kMemory = 0.25;     // of the warm-up time: how far back rates look
constexpr double kComeBack = 0.5;    // SLO times that a rejected client is asked to keep away
constexpr double kRepeatAge = 0.5;   // of the SLO time that a client's repeat is taken to have waited before
constexpr double kLateWait = 0.45;  // of its client's time that a late statement may wait in all
constexpr double kWorthWaiting = 0.5;  // late share from which a late statement still waits for room
// Time-outs.
constexpr double kSilent = 8, kWitness = 3;  // answers owed by a silent store, and by one execution
constexpr double kSilentShare = 0.3;  // of the smallest SLO time that it has given none
constexpr double kOverdue = 3;  // usual times, and
constexpr double kOverdueShare = 0.5;  // of the SLO time: an execution older than both is overdue
constexpr double kOverdueHurts = 0.3;  // of a store's good share that goes with an overdue execution
constexpr double kFurther = 0.05;      // second copies earned by each statement
constexpr double kFurtherCap = 16;
// Sessions remembered at once, where they carry no token.
constexpr std::size_t kSessionCap = 100'000;
// Cold share.
constexpr double kColdHeadroom = 0.8;  // of the multiple at which a cold store falls over
constexpr double kColdBurst = 0.25;    // of the window in which that is judged

double unit(std::ranlux24_base& chance) { return (static_cast<double>(chance()) + 0.5) / 16777216.0; }

}  // namespace

Rules::Rules(Terms terms, TimePoint now) : terms_(std::move(terms)), chance_(terms_.seed) {
  if (terms_.workloads.empty()) throw std::invalid_argument("no workloads are given");
  if (terms_.tick <= Span{}) throw std::invalid_argument("the tick must be above 0");
  if (terms_.maxExecutions < 1) throw std::invalid_argument("no execution is allowed");
  if (!(terms_.coldFrom > 0 && terms_.coldFrom <= 1))
    throw std::invalid_argument("the cold share must be in (0, 1]");
  smallestBound_ = smallestSlo_ = terms_.workloads[0].slo;
  for (const Workload& w : terms_.workloads) {
    if (w.slo <= Span{}) throw std::invalid_argument("a workload has no SLO time");
    if (w.level == Level::bounded && w.bound <= Span{})
      throw std::invalid_argument("a bounded read has no bound");
    smallestSlo_ = std::min(smallestSlo_, w.slo);
    if (w.level == Level::bounded) smallestBound_ = std::min(smallestBound_, w.bound);
    typical_.push_back(w.slo * kFirstUsual);
    least_.push_back(w.slo * kFirstUsual);
  }
  meanWork_ = smallestSlo_.seconds() * kFirstUsual;
  refresh_ = smallestBound_;
  reportAge_ = smallestBound_ * kSoft;
  probesEarned_ = std::min(kProbesMost, kProbeSpend / std::max(terms_.probePrice, 1e-9));
  firstLimit_ = std::min(kFirstLimit, kTogether / terms_.fronts);
  memory_ = std::max(terms_.coldRamp * kMemory, smallestSlo_);
  terms_.askEvery = std::max(terms_.askEvery, smallestSlo_);
  // Danger: calls may fail one after the other; what changes meanwhile counts as told at its time anyway.
  Span most = terms_.toldAnyway > Span{} ? terms_.toldAnyway * kAskAnyway : kForever - kNever;
  askLast_ = std::min(terms_.askEvery * kAskLast, most);
  askBackoff_ = askFirst_ = std::min(terms_.askEvery * kAskFirst, most);
  if (terms_.mustAsk) askAt_ = now;
  tenants_.resize(terms_.tenants.size());
  for (const Tenant& t : terms_.tenants) quotas_ += t.quota;
}

// ---- the list ----

void Rules::listBegins(bool whole) {
  if (whole) std::fill(stores_.inList.begin(), stores_.inList.end(), 0);
}

void Rules::entry(const Entry& e, TimePoint now) {
  Stores& S = stores_;
  int s = e.store;
  while (S.size() <= s) S.begin(S.size(), terms_.workloads.size(), firstLimit_, now);
  // Danger: hundreds of fronts that meet a store together would each find it free for a read that hangs back.
  if (many() && S.group[s] < 0)
    S.freeAt[s] = now + smallestSlo_ * kFirstUsual * (unit(chance_) / firstLimit_);
  if (S.group[s] != e.group) {
    if (S.group[s] >= 0) std::erase(groups_[S.group[s]].members, s);
    if (static_cast<int>(groups_.size()) <= e.group) groups_.resize(e.group + 1);
    groups_[e.group].members.push_back(s), S.group[s] = e.group;
  }
  if (static_cast<int>(zones_.size()) <= e.zone) zones_.resize(e.zone + 1);
  S.zone[s] = e.zone, S.weight[s] = e.weight > 0 ? e.weight : 1, S.inList[s] = 1;
  // Where a vanished store is not bound by the drain rule the list does not prove what is up: health decides.
  if (e.listed != Listed::gone || terms_.goneBinds) S.listed[s] = e.listed;
  if (e.started && *e.started > S.started[s]) begins(s, *e.started, now), unblock(s), startedAnew(s, now);
  GroupState& g = groups_[e.group];
  // Danger: a list with roles as at the start would name one that told otherwise and was forgotten since.
  if (e.primary && e.listed == Listed::up && S.role[s] == Role::unknown && g.primary != s &&
      (g.primary < 0 ? terms_.roleFollows || !g.moved
                     : terms_.roleFollows && (g.named == Named::byList || !usable(g.primary, now))))
    namePrimary(e.group, s, Named::byList, now);
}

void Rules::listEnds(bool asked) {
  for (std::size_t s = 0; s < stores_.inList.size(); ++s)
    if (!stores_.inList[s] && terms_.goneBinds) stores_.listed[s] = Listed::gone;
  if (asked) askBackoff_ = askFirst_;
}

void Rules::listFailed(TimePoint now) {
  // Danger: the list's service is small; fronts that all ask again at once keep it from answering any.
  askAt_ = now + askBackoff_ * (0.5 + unit(chance_));
  askBackoff_ = std::min(askBackoff_ * 2, askLast_);
}

// Danger: a zone that is taken back is cold, and each front that found its stores away would look at each.
void Rules::zoneShare(int zone, double share, bool looks, TimePoint now) {
  if (static_cast<int>(zones_.size()) <= zone) zones_.resize(zone + 1);
  double before = std::exchange(zones_[zone].share, share);
  zones_[zone].looks = looks;
  for (int s = 0; before <= 0 && share > 0 && s < stores_.size(); ++s)
    if (stores_.zone[s] == zone && stores_.group[s] >= 0) begins(s, now, now), unblock(s);
}

// Danger: with stores ever new, each round would walk all that there ever were.
void Rules::left(int s, TimePoint now) {
  for (GroupState& g : groups_) std::erase(g.members, s), g.primary = g.primary == s ? -1 : g.primary;
  stores_.begin(s, terms_.workloads.size(), firstLimit_, now);
}

// ---- the design: positions, curve, drain, choice ----

// `known`: how old the position may be by the way it came, as a report is renewed only now and then.
void Rules::learnPosition(int s, TimePoint position, Span known, TimePoint now) {
  if (position < stores_.position[s]) return;
  stores_.position[s] = position;
  Span lag = now - position;
  for (std::size_t w = 0; w < terms_.workloads.size(); ++w) {
    const Workload& row = terms_.workloads[w];
    if (row.level != Level::bounded) continue;
    // Danger: reads crowd the thread that applies the log; where they do, fewer of them let it catch up.
    if (lag < row.bound && lag - known >= row.bound * kLagCut) cutLimit(s, position, now);
    if (lag >= row.bound)
      stores_.drained[s][w] = 1;
    else if (stores_.drained[s][w] && lag < row.bound * kReentry)
      stores_.drained[s][w] = 0, stores_.returned[s][w] = now;
  }
}

double Rules::curve(int s, const Workload& w, TimePoint now) const {
  Span lag = now - stores_.position[s], soft = w.bound * kSoft;
  if (w.level != Level::bounded || lag <= soft) return 1;
  return lag >= w.bound ? kFloor * terms_.storesCheck : 1 - (1 - kFloor) * ((lag - soft) / (w.bound - soft));
}

// Is the replica known to be fresh enough for this statement, if it is sent now?
bool Rules::measured(int s, const Stmt& st, TimePoint now) const {
  const Workload& w = terms_.workloads[st.workload];
  if (w.level == Level::bounded)
    return !stores_.drained[s][st.workload] &&  // a store that checks reads itself may be of unknown age
           (terms_.storesCheck || now + terms_.tick - stores_.position[s] < w.bound);
  return w.level == Level::any || (w.level != Level::write && stores_.position[s] >= st.needs);
}

// Is the replica too far behind for every bounded workload?
bool Rules::boundedDrained(int s) const {
  for (std::size_t w = 0; w < terms_.workloads.size(); ++w)
    if (terms_.workloads[w].level == Level::bounded && !stores_.drained[s][w]) return false;
  return true;
}

// Does it run so long that a replica which holds up its log for it falls behind the smallest bound?
bool Rules::longRead(int w) const {
  return terms_.workloads[w].level == Level::any && typical_[w] > smallestBound_;
}

bool Rules::anyLongRead() const {
  for (int w = 0; w < static_cast<int>(terms_.workloads.size()); ++w)
    if (longRead(w)) return true;
  return false;
}

int Rules::hostsAtOnce(int members) const {
  double hosts = members * kHostMargin * longWork_ / allWork_;
  return std::clamp(static_cast<int>(hosts + 0.5), 1, std::max(1, members - 2));
}

// Does it take its turn as host of long reads? Members that do are its hosts in list order.
bool Rules::mayHost(int s) const {
  return s != groups_[stores_.group[s]].primary && stores_.listed[s] == Listed::up && !stores_.down[s] &&
         stores_.goodShare[s] > kWell;
}

double Rules::weightFor(int s, int stmt, TimePoint now) const {
  const Stmt& st = stmts_[stmt];
  const Workload& w = terms_.workloads[st.workload];
  double weight = stores_.weight[s] * curve(s, w, now) * warmth(s, now);
  double ramp = (now - stores_.returned[s][st.workload]) / (smallestSlo_ * kSlowStart);
  if (w.level == Level::bounded) weight *= std::clamp(ramp, kFloor, 1.0);
  weight *= doubted(s, now) ? kZoneDoubt : shareOf(s);
  // Danger: quick errors free slots fast and draw more reads; a slow store answers right but late.
  weight *= stores_.goodShare[s] * stores_.goodShare[s] / std::clamp(stores_.speed[s], 0.5, 10.0);
  for (const Execution& e : st.executions)
    if (e.store == s) weight *= kFloor;
  return std::max(weight, 1e-9);
}

int Rules::fewest(const std::vector<int>& among, int stmt, TimePoint now) {
  int best = -1;
  double bestLoad = 0, tied = 0;
  for (int s : among) {
    double weight = weightFor(s, stmt, now), load = stores_.out[s] / weight;
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
int Rules::route(int stmt, TimePoint now) {
  const Stmt& st = stmts_[stmt];
  const Workload& w = terms_.workloads[st.workload];
  if (w.level == Level::write) return routeCurrent(stmt, now);
  GroupState& g = groups_[st.group];
  std::vector<int> fit, hosting;
  bool known = false, awaited = false, bounded = w.level == Level::bounded;
  // Danger: a replica may hold up its log for a long read; spread over all, they leave none fresh. They fill
  // members in list order and wait before they take one more; short reads that any may answer go there first.
  bool packed = longRead(st.workload), hosted = w.level == Level::any && !packed && anyLongRead();
  int rank = 0, members = static_cast<int>(g.members.size());
  int most = std::max(1, static_cast<int>(members * kLongMembers));
  int taken = std::min(most, 1 + static_cast<int>((now - st.arrived) / (w.slo * kSpill)));
  // Danger: many fronts that all fill one host first overrun it; they take hosts by the work of long reads.
  if (many()) taken = most = hostsAtOnce(members);
  for (int s : g.members) {
    if (s == g.primary || stores_.listed[s] != Listed::up) continue;
    rank += mayHost(s);
    if (!usable(s, now) || shareOf(s) <= 0 || (packed && (rank > taken || rank < 1))) continue;
    bool shut = bounded && stores_.position[s] > kNever && stores_.drained[s][st.workload];
    awaited |= stores_.probing[s] && !shut;
    if (!measured(s, st, now)) continue;
    known = true;
    if (!room(s, stmt, now)) continue;
    if (!hosted || rank > most)
      fit.push_back(s);
    else if (stores_.limit[s] < 1 ? stores_.freeAt[s] <= now : stores_.out[s] < stores_.limit[s] * kHostShare)
      hosting.push_back(s);
  }
  // Danger: a light front hears too late that short reads fill a host; there they take hosts like any other.
  if (many()) fit.insert(fit.end(), hosting.begin(), hosting.end()), hosting.clear();
  if (!hosting.empty() || !fit.empty()) return fewest(hosting.empty() ? fit : hosting, stmt, now);
  // Danger: at many fronts nearly every bounded read needs a look, and half of them find the replica too old.
  // Where the primary has room for it, it goes there, as the design has it of any that is not placed.
  if (many() && bounded && primaryRoom(g, stmt, now)) return g.primary;
  // Reads await a probe answer that is under way, but not for long.
  if (!known && awaited && now - st.arrived < w.slo * kSearchGap) return -1;
  if (packed && rank > 0) return -1;
  return routeCurrent(stmt, now);
}

int Rules::routeCurrent(int stmt, TimePoint now) {
  const Stmt& st = stmts_[stmt];
  const Workload& w = terms_.workloads[st.workload];
  GroupState& g = groups_[st.group];
  bool bounded = w.level == Level::bounded;
  if (terms_.storesCheck && w.level != Level::write && w.level != Level::any && st.tries < 1 + bounded) {
    int best = -1;
    for (int s : g.members) {
      // Danger: probes may fail where statements don't. A drained replica that is due a look gets a read.
      bool shut = boundedDrained(s) && !(bounded && stores_.probeDue[s] <= now);
      if (s == g.primary || shut || !usable(s, now) || !room(s, stmt, now)) continue;
      if (best < 0 || stores_.position[s] > stores_.position[best]) best = s;
    }
    if (best >= 0 && boundedDrained(best)) stores_.probeDue[best] = now + smallestBound_ * kSlowestPace;
    if (best >= 0) return best;
  }
  // Danger: a report may be untrue. Until the store itself has answered as primary it gets writes, which a
  // replica turns away untouched, but no read that must be current.
  if (g.primary >= 0 && g.named == Named::byReport && !terms_.storesCheck && w.level != Level::write &&
      w.level != Level::any)
    return -1;
  if (primaryUsable(g, now)) return room(g.primary, stmt, now) ? g.primary : -1;
  return w.level == Level::write ? searchTurn(stmt, now) : -1;
}

// ---- 1. primary search ----

bool Rules::primaryUsable(const GroupState& g, TimePoint now) const {
  return g.primary >= 0 && usable(g.primary, now);
}

// Has it room for a bounded read that needs no look? Not while cold or after a cut: writes come first there.
// A report alone is no proof of the role, and stores that check need none.
bool Rules::primaryRoom(const GroupState& g, int stmt, TimePoint now) const {
  if (!primaryUsable(g, now) || g.named == Named::byReport || terms_.storesCheck) return false;
  return stores_.limit[g.primary] >= firstLimit_ && !doubted(g.primary, now) &&
         warmth(g.primary, now) >= 1 && room(g.primary, stmt, now);
}

void Rules::namePrimary(int g, int s, Named named, TimePoint now) {
  groups_[g].primary = s, groups_[g].named = named, groups_[g].primarySince = now;
  groups_[g].moved |= named != Named::byList;
}

// `at`: when the store was in that role. Danger: an answer may be read long after it was written, or overtake
// one to what was sent later. As a primary's it counts from the send, as a replica's from now; a report from
// its position.
void Rules::learnRole(int s, Role role, TimePoint at, bool byReport, TimePoint now) {
  if (role == Role::unknown || stores_.group[s] < 0) return;
  GroupState& g = groups_[stores_.group[s]];
  if (role == Role::primary) {
    if (at <= stores_.replicaAt[s]) return;
    if (!byReport && at <= stores_.doubtedAt[s]) return;
    // Danger: a report may come between the send of what it answers as primary and that answer, and seem newer.
    if (!byReport && g.primary == s) g.named = Named::surely;
    if (at <= stores_.primaryAt[s]) return;
    stores_.primaryAt[s] = at, stores_.role[s] = role;
    // Danger: two stores claim the role; the one seen in it last has it.
    if (g.primary != s && (g.primary < 0 || stores_.primaryAt[g.primary] < at))
      namePrimary(stores_.group[s], s, byReport ? Named::byReport : Named::surely, now);
    else if (g.primary == s && !(byReport && g.named == Named::byReport))
      g.named = Named::surely;
  } else {
    // Danger: a report that seems older than its last sight as primary may be new, of one that stood still.
    doubtRole(s, now);
    if (at < stores_.primaryAt[s]) return;  // or it is old, and says nothing about a store promoted since
    stores_.role[s] = role;
    stores_.replicaAt[s] = std::max(stores_.replicaAt[s], at);
    if (g.primary == s) g.primary = -1, g.moved = true;
  }
}

// Until it has answered as primary to what is sent from now on it gets writes, as one that a report alone
// names, but no read that must be current.
void Rules::doubtRole(int s, TimePoint now) {
  GroupState& g = groups_[stores_.group[s]];
  stores_.doubtedAt[s] = now;
  if (g.primary == s && g.named == Named::surely) g.named = Named::byReport;
}

// Danger: a primary that died comes back as a replica whose position stands where it was last seen as
// primary; its reports seem older than that. Any report tells what it is, and its role is doubted.
void Rules::startedAnew(int s, TimePoint now) {
  stores_.primaryAt[s] = kNever;
  doubtRole(s, now);
}

// While no primary is known or it is silent, writes try members in turn, one at a time for each group.
int Rules::searchTurn(int stmt, TimePoint now) {
  Stmt& st = stmts_[stmt];
  GroupState& g = groups_[st.group];
  int members = static_cast<int>(g.members.size());
  if (st.tries >= std::min(members, (terms_.maxExecutions + 1) / 2)) return -1;
  Span slo = terms_.workloads[st.workload].slo, again = slo * kSearchAgain;
  if (now - g.searched < slo * kSearchGap) return -1;
  // Danger: a jammed primary looks silent to a light front, whose writes would spend their tries on replicas.
  if (g.primary >= 0 && !stores_.down[g.primary]) again = std::max(again, stores_.block[g.primary]);
  for (int k = 0; k < members; ++k) {
    int s = g.members[(g.turn + k) % members];
    if (!usable(s, now) || !room(s, stmt, now)) continue;
    // A member that has just answered as a replica is none yet.
    if (now - stores_.replicaAt[s] < again) continue;
    g.turn = (g.turn + k + 1) % members, g.searched = now;
    return s;
  }
  return -1;
}

// ---- 2. probe timing ----

// The next look at a replica that lags this far or stands still: it can't be fresh much sooner.
void Rules::lookLater(int s, Span lag, Span least, TimePoint now) {
  stores_.probeDue[s] = now + std::min(std::max(least, lag * kLagPace), smallestBound_ * kSlowestPace);
}

// Reports are renewed at a steady pace: learn it, and the age a report has at the earliest.
void Rules::learnRefresh(int s, TimePoint position, TimePoint now) {
  TimePoint before = stores_.reported[s], asked = std::exchange(stores_.probedAt[s], now);
  Span age = now - position, pace = smallestBound_ * kFirstPace;
  stores_.reported[s] = position;
  if (age >= (refresh_ + reportAge_) * kLagging) return lookLater(s, age, refresh_, now);
  if (position > before) {
    // The report was renewed after the last look, and is renewed again a period later.
    stores_.renewal[s] = std::max(asked, now - refresh_) + refresh_;
    if (age < smallestBound_) {
      reportAge_ = std::min(reportAge_ * (1 + kDrift), age);
      stores_.renewal[s] = std::max(stores_.renewal[s], position + refresh_ + reportAge_ * (1 + kFirstPace));
      // Reports of a store that catches up or falls behind stand closer or further apart than they are made.
      Span gap = before > kNever ? position - before : refresh_;
      gap = gap * (1 / std::max(1.0, std::round(gap / refresh_)));
      if (gap > refresh_ * kLikely) refresh_ = refresh_ + (gap - refresh_) * kLearn;
    }
  }
  // Danger: probes at the reports' own pace may meet each one at its oldest and never see the replica fresh.
  stores_.probeDue[s] = std::max(now + pace, stores_.renewal[s]);
}

// How far behind a replica is taken to be, which says whose look is the likeliest to help. Danger: a light
// front knows little of most; one that was never seen may be fresh, but not where it hosts long reads.
Span Rules::supposedLag(int s, bool host) const {
  if (!boundedDrained(s)) return {};
  if (!many()) return smallestBound_;
  if (stores_.position[s] == kNever) return smallestBound_ * (host ? kSlowestPace : kLagging);
  return stores_.probedAt[s] - stores_.position[s];
}

void Rules::probeRound(TimePoint now, Writer& out) {
  if (!terms_.mayProbe) return;
  bool packed = many() && anyLongRead();
  for (GroupState& g : groups_) {
    bool lost = !primaryUsable(g, now), writes = false, unseen = false;
    double unplaced = 0, have = 0;
    int first = -1, rank = 0, hosts = packed ? hostsAtOnce(static_cast<int>(g.members.size())) : 0;
    for (int stmt : g.waiting) {
      Level level = terms_.workloads[stmts_[stmt].workload].level;
      if (level == Level::bounded && unplaced++ == 0) first = stmt;
      writes |= level == Level::write || level == Level::fresh;
    }
    std::vector<std::pair<Span, int>> due;
    for (int s : g.members) {
      bool young = now - stores_.position[s] < smallestBound_ * kReentry;
      // One looked at in vain just now counts too: when all stand at one commit, one look is enough.
      bool looked = now - stores_.probedAt[s] < smallestBound_ * kFirstPace;
      // Danger: at many fronts most replicas have no room for one more read from here; fresh or not, they are
      // no help, and a look in vain at one of them tells little of the next.
      bool helps = !many() || first < 0 || room(s, first, now);
      have += stores_.probing[s] || (s != g.primary && helps && (young || (looked && !many())));
      rank += mayHost(s);
      if (stores_.probing[s] || stores_.listed[s] != Listed::up) continue;
      bool mayLook = stores_.zone[s] < 0 || zones_[stores_.zone[s]].looks;
      if (stores_.down[s] && stores_.blockedUntil[s] <= now && mayLook) stores_.probing[s] = 1, out.probe(s);
      if (stores_.down[s] || now < stores_.probeDue[s] || doubted(s, now) || !mayLook) continue;
      if (!helps && !(lost && writes)) continue;
      if (stores_.position[s] == kNever || (!young && s != g.primary && usable(s, now)) || (lost && writes))
        due.emplace_back(supposedLag(s, rank <= hosts), s);
      unseen |= !due.empty() && due.back().second == s && stores_.position[s] == kNever && !many();
    }
    // Danger: with many fronts, each with little traffic, probing all replicas costs more than the reads do.
    // There the one that lagged least when last seen is asked first, hosts of long reads last, one at a time.
    if (many()) std::shuffle(due.begin(), due.end(), chance_);
    double flow = g.boundedRate * smallestBound_.seconds();
    bool wanted = !terms_.storesCheck && unplaced > 0 && !(many() && primaryRoom(g, first, now));
    double want = wanted ? 1 + kLead * (flow + unplaced * kSoft) : 0;
    if (many()) want = std::floor(want);
    // Danger: of hundreds of replicas nearly all are due a look at all times, and most rounds ask none.
    if (!unseen && (probeBudget_ < 1 || (have >= want && !(lost && writes && have < 1)))) continue;
    std::stable_sort(due.begin(), due.end(), [&](const auto& a, const auto& b) {
      return std::pair(a.first, stores_.probeDue[a.second]) < std::pair(b.first, stores_.probeDue[b.second]);
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

void Rules::unasked(int s, TimePoint now) {
  stores_.probing[s] = 0, stores_.probeDue[s] = now + smallestBound_ * kFirstPace;
}

void Rules::probed(int s, bool ok, const Report& report, TimePoint now, Role role) {
  stores_.probing[s] = 0;
  // Danger: what an answer says beside its report counts as known too, and the report may be older.
  if (role == Role::replica) learnRole(s, role, now, false, now);
  // Danger: one probe whose connection broke tells nothing; a replica unseen for long gets no bounded reads.
  bool vain = (stores_.missed[s] = ok ? 0 : stores_.missed[s] + 1) > 1 || many();
  if (!ok) stores_.probeDue[s] = now + smallestBound_ * (vain ? kSlowestPace : kFirstPace);
  if (!ok && stores_.down[s]) stores_.dead[s] |= vain, blockStore(s, now, true);
  if (!ok) return;
  tellZone(s, true, now);
  // Danger: where one that runs has no room for connections, most of a squeezed fleet's stores have none.
  if (stores_.down[s] && !stores_.dead[s] && many()) crowdedAt_ = now;
  // Danger: a store that was only cut off is not cold. A dead primary of several would have lost its role.
  bool kept = report.position && report.primary.value_or(false) && *report.position > stores_.blockedAt[s];
  if (kept && groups_[stores_.group[s]].members.size() > 1) stores_.dead[s] = 0;
  if (stores_.down[s] && stores_.dead[s]) startedAnew(s, now);
  if (stores_.down[s]) healed(s, now);
  if (report.position) {
    if (now - *report.position < smallestBound_) probeBudget_ = std::min(kProbesCap, probeBudget_ + 1);
    learnRefresh(s, *report.position, now);
    learnPosition(s, *report.position, refresh_ + reportAge_, now);
    if (report.primary)
      learnRole(s, *report.primary ? Role::primary : Role::replica, *report.position, true, now);
  }
}

// ---- 3. health from outcomes ----

bool Rules::usable(int s, TimePoint now) const {
  // Danger: a statement that tries a dead or cut off store waits for a connection; probes try it instead.
  return stores_.listed[s] == Listed::up && stores_.blockedUntil[s] <= now &&
         !(stores_.down[s] && terms_.mayProbe);
}

// Danger: when a zone is lost, each front would find out store by store, at the cost of a statement each.
bool Rules::doubted(int s, TimePoint now) const {
  int z = stores_.zone[s];
  return z >= 0 && zones_[z].missed >= kZoneMisses &&
         now - zones_[z].missedAt < terms_.connectTimeout * kBlockCap;
}

void Rules::tellZone(int s, bool heard, TimePoint now) {
  if (stores_.zone[s] < 0) return;
  ZoneState& z = zones_[stores_.zone[s]];
  z.missed = heard ? 0 : z.missed + 1;
  if (!heard) z.missedAt = now;
}

void Rules::blockStore(int s, TimePoint now, bool down) {
  Span first = terms_.connectTimeout;
  stores_.block[s] = stores_.block[s] > Span{} ? std::min(stores_.block[s] * 2, first * kBlockCap) : first;
  stores_.blockedUntil[s] = now + stores_.block[s], stores_.blockedAt[s] = now, stores_.down[s] |= down;
}

void Rules::healed(int s, TimePoint now) {
  // Danger: a process that died and answers again is cold long before the list says that it started. One
  // that refused a connection but answered every probe had no room for one: it was never away.
  if (stores_.dead[s] || (stores_.down[s] && !terms_.mayProbe)) begins(s, now, now);
  unblock(s);
}

void Rules::unblock(int s) {
  stores_.down[s] = stores_.dead[s] = 0, stores_.blockedUntil[s] = kNever, stores_.block[s] = {};
}

void Rules::learnHealth(int s, int workload, const Result& r, TimePoint sent, bool paced, TimePoint now) {
  Stores& S = stores_;
  Span slo = terms_.workloads[workload].slo, &usual = typical_[workload];
  bool well = r.ending == Ending::ok || r.ending == Ending::miss || r.ending == Ending::invalid;
  // Danger: one answer spoilt or cut off is no death; but of many fronts each sees no more of one than that.
  bool ended = r.ending == Ending::reset;
  bool wrong = r.ending == Ending::error || r.ending == Ending::spoilt || (ended && !many());
  if (well || wrong || r.ending == Ending::full) S.heard[s] = now, tellZone(s, true, now);
  if (r.ending == Ending::connectFailed || ended) tellZone(s, false, now);
  if (well) healed(s, now);
  crowd_ += kLearn * 0.5 * ((r.ending == Ending::connectFailed) - crowd_);
  if (r.ending == Ending::ok) {
    S.goodShare[s] += kLearn * (1 - S.goodShare[s]);
    S.speed[s] += kLearn * 0.5 * (r.took / usual - S.speed[s]);
    usual = usual + (std::min(r.took, slo) - usual) * (kLearn * 0.2);
    if (r.took > slo * kSlowAnswer)
      cutLimit(s, sent, now, r.took > slo * kSlowAnswer * kJam);
    else if (paced && S.out[s] + 1 >= S.limit[s] * 0.5)
      setLimit(s, S.limit[s] + std::min(S.limit[s] * kGrow, 1 / S.limit[s]), now);
  } else if (wrong) {
    S.goodShare[s] -= kLearn * S.goodShare[s];
  } else if (r.ending == Ending::full) {
    cutLimit(s, sent, now, true);
    if (S.out[s] == 0) blockStore(s, now, false);
  } else if (r.ending == Ending::connectFailed || ended) {
    if (!ended && many()) S.crowdedAt[s] = now;
    if (!ended && !many() && crowd_ > kCrowded) crowdedAt_ = now;
    S.dead[s] |= ended;
    // What was sent before the block tells nothing new, nor one connection of a store that answers on others.
    bool first = std::exchange(S.refusedAt[s], now) <= S.heard[s] && now - S.heard[s] < smallestSlo_;
    if (sent >= S.blockedAt[s] && sent >= S.heard[s] && (!first || many())) blockStore(s, now, true);
  }
}

// ---- 4. in-flight limit with shedding ----

bool Rules::room(int s, int stmt, TimePoint now) const {
  const Stmt& st = stmts_[stmt];
  for (const Execution& e : st.executions)
    if (e.out && e.store == s) return false;
  Level level = terms_.workloads[st.workload].level;
  bool current = level == Level::write || level == Level::fresh;
  double share = longRead(st.workload) ? kLongRoom : 1;
  if (s == groups_[st.group].primary && !current) share = kReadShare;
  // Danger: many fronts with one each are too many already. Below one the limit spaces sends out in time, by
  // the work they bring: some ahead of their time, writes the most; reads at the primary hang back.
  double limit = stores_.limit[s], ahead = share < 1 ? -1 : 1;
  if (current) ahead = std::max(1.0, kAhead * std::min(1.0, limit / firstLimit_));  // less where it was cut
  double least = limit < 1 && current ? kAhead : 1;
  if (stores_.out[s] >= std::max(least, std::floor(limit * share))) return false;
  if (limit < 1 && now + typical_[st.workload] * (ahead / limit) < stores_.freeAt[s]) return false;
  return warmth(s, now) >= 1 || stores_.coldBudget[s] > 0;
}

// One cut for all that was sent before the last one: they tell of the same jam. Danger: a light front hears
// of a full or long queue once in seconds; one step would leave it standing.
void Rules::cutLimit(int s, TimePoint sent, TimePoint now, bool jam) {
  if (sent < stores_.cutAt[s]) return;
  stores_.cutAt[s] = now;
  double part = jam && stores_.limit[s] < 1 ? kCutJam : kCut;
  setLimit(s, std::max(1.0 / terms_.fronts, stores_.limit[s] * part), now);
}

// Danger: work sent ahead of a pace that was cut would be owed for minutes after the pace has come back. What
// is owed is work; how long it takes follows the pace.
void Rules::setLimit(int s, double limit, TimePoint now) {
  double before = std::exchange(stores_.limit[s], limit);
  if (stores_.freeAt[s] > now) stores_.freeAt[s] = now + (stores_.freeAt[s] - now) * (before / limit);
}

// The time that must be left for a start to be of use.
Span Rules::startTime(int w) const {
  return std::max(typical_[w], std::min(typical_[w] * kStart, terms_.workloads[w].slo * kStartShare));
}

// Beyond its share a tenant's work is worth little. Shares are taken as this front's part of all traffic.
void Rules::countTenant(Stmt& st, TimePoint now) {
  if (st.tenant < 0 || quotas_ <= 0) return;
  double tau = memory_.seconds(), rates = 0;
  double passed = (now - std::max(tenantsAt_, now - memory_ * 4)).seconds();
  tenantsAt_ = now;
  for (std::size_t k = 0; k < tenants_.size(); ++k) {
    tenants_[k].rate = tenants_[k].rate * std::exp(-passed / tau) +
                       (static_cast<int>(k) == st.tenant ? 1 / tau : 0);
    rates += tenants_[k].rate;
  }
  double part = std::max(1.0 / terms_.fronts, rates / quotas_);
  for (std::size_t k = 0; k < tenants_.size(); ++k) {
    double fill = terms_.tenants[k].quota * part;
    tenants_[k].tokens = std::min(tenants_[k].tokens + fill * passed, std::max(1.0, fill * tau));
  }
  st.overShare = tenants_[st.tenant].tokens < 1, tenants_[st.tenant].tokens -= !st.overShare;
}

bool Rules::late(const Stmt& st, TimePoint now) const {
  return now + startTime(st.workload) > st.arrived + terms_.workloads[st.workload].slo;
}

double Rules::standing(const Stmt& st, TimePoint now) const {
  const Workload& w = terms_.workloads[st.workload];
  return w.importance * (st.overShare ? terms_.overShareWorth : 1) * (late(st, now) ? w.lateShare : 1);
}

void Rules::dispatch(int g, TimePoint now, Writer& out) {
  std::vector<int>& waiting = groups_[g].waiting;
  std::erase_if(waiting, [&](int stmt) { return !stmts_[stmt].open || isOut(stmts_[stmt]); });
  auto first = [&](int a, int b) { return standing(stmts_[a], now) > standing(stmts_[b], now); };
  std::stable_sort(waiting.begin(), waiting.end(), first);
  std::vector<char> stuck(terms_.workloads.size(), 0);
  std::vector<int> left;
  for (int stmt : waiting) {
    Stmt& st = stmts_[stmt];
    Level level = terms_.workloads[st.workload].level;
    int s = -1;
    if (st.notBefore <= now && !stuck[st.workload]) {
      s = route(stmt, now);
      if (s >= 0 && !mayRunAgain(st, s, now)) s = -1;
      if (s < 0 && level == Level::bounded) stuck[st.workload] = 1;
    }
    s >= 0 ? send(stmt, s, now, out) : left.push_back(stmt);
  }
  waiting = std::move(left);
}

// A statement that can't do any good any more is answered at once, so that its client may go on.
void Rules::shed(int g, TimePoint now, Writer& out) {
  GroupState& group = groups_[g];
  for (int stmt : group.waiting) {
    const Stmt& st = stmts_[stmt];
    const Workload& w = terms_.workloads[st.workload];
    bool lost = w.level != Level::any && !primaryUsable(group, now);
    bool hopeless = now + startTime(st.workload) > st.giveUpAt || !mayRunAgain(st, -1, now);
    // Past its SLO time it waits for a primary, or if still worth much, and leaves its client time to retry.
    bool worth = w.lateShare >= kWorthWaiting || (lost && w.lateShare > 0);
    bool waited = now - st.arrived > (st.giveUpAt - st.arrived) * kLateWait;
    if (hopeless || (late(st, now) && (!worth || waited))) giveUp(stmt, out);
  }
  std::erase_if(group.waiting, [&](int stmt) { return !stmts_[stmt].open; });
}

void Rules::giveUp(int stmt, Writer& out) {
  Stmt& st = stmts_[stmt];
  if (!st.open) return;
  for (std::size_t k = 0; k < st.executions.size(); ++k)
    if (st.executions[k].out && terms_.mayCancel) out.cancel(stmt, static_cast<int>(k));
  st.open = false;
  if (!harmless(st)) return out.abort(stmt);
  Span back = terms_.workloads[st.workload].slo * kComeBack;
  out.reject(stmt, terms_.namesComeBack ? std::min(terms_.maxComeBack, back) : Span{});
}

// ---- 5. time-outs and further executions ----

bool Rules::isOut(const Stmt& st) const {
  return std::any_of(st.executions.begin(), st.executions.end(), [](const Execution& e) { return e.out; });
}

// May a client be told that trying again does no harm?
bool Rules::harmless(const Stmt& st) const {
  const Workload& w = terms_.workloads[st.workload];
  if (w.effect == Effect::idempotent) return true;
  bool ran = false;
  for (const Execution& e : st.executions) ran |= e.mayHaveRun;
  return !ran || (w.effect == Effect::deduplicated && w.scope == Scope::everywhere);
}

// May it be sent to this store now, after all that was sent before?
bool Rules::mayRunAgain(const Stmt& st, int s, TimePoint now) const {
  const Workload& w = terms_.workloads[st.workload];
  if (static_cast<int>(st.executions.size()) >= terms_.maxExecutions) return false;
  if (!terms_.secondCopies && isOut(st)) return false;
  if (w.effect == Effect::idempotent) return true;
  for (const Execution& e : st.executions) {
    if (!e.mayHaveRun) continue;
    if (w.effect == Effect::nonIdempotent) return false;       // danger: a second effect
    if (now + terms_.tick - e.sent >= w.window) return false;  // danger: the store has forgotten the mark
    if (w.scope == Scope::zone && s >= 0 && stores_.zone[s] != stores_.zone[e.store]) return false;
    if (w.scope == Scope::group && s >= 0 && stores_.group[s] != stores_.group[e.store]) return false;
  }
  return true;
}

// Danger: a store that takes work and answers nothing shows only by the answers it owes, by usual times.
std::vector<double> Rules::answersMissing(TimePoint now) const {
  std::vector<double> missing(stores_.group.size(), 0);
  for (int stmt : open_)
    for (const Execution& e : stmts_[stmt].executions) {
      int s = e.store;  // where answers take little of the SLO time, one lost connection looks like silence
      if (!e.out || now - stores_.heard[s] < smallestSlo_ * kSilentShare) continue;
      double owed = (now - std::max(stores_.heard[s], e.sent)) / typical_[stmts_[stmt].workload];
      missing[s] += many() ? owed : e.sent < stores_.blockedAt[s] ? 0 : std::min(owed, kWitness);
    }
  return missing;
}

void Rules::watchExecutions(TimePoint now, Writer& out) {
  std::vector<double> missing = answersMissing(now);
  for (std::size_t s = 0; s < missing.size(); ++s)
    if (missing[s] > kSilent && stores_.blockedUntil[s] <= now) blockStore(static_cast<int>(s), now, false);
  for (int stmt : open_) {
    Stmt& st = stmts_[stmt];
    if (!st.open) continue;
    // Danger: the client leaves at its time, and an answer after that breaks the rule.
    if (now + terms_.tick * 2 >= st.giveUpAt) giveUp(stmt, out);
    if (!st.open || !isOut(st)) continue;
    const Workload& w = terms_.workloads[st.workload];
    GroupState& g = groups_[st.group];
    for (std::size_t k = 0; k < st.executions.size(); ++k) {
      Execution e = st.executions[k];
      if (!e.out || e.cancelled) continue;
      Span age = now - e.sent, usual = typical_[st.workload];
      bool silent = missing[e.store] > kSilent && age > usual;
      bool moved = w.level == Level::write && g.primary >= 0 && g.primary != e.store &&
                   g.primarySince > e.sent;
      bool overdue = w.effect == Effect::idempotent &&
                     (silent || age > std::max(usual * kOverdue, w.slo * kOverdueShare));
      if (overdue && !e.overdue) {
        // Danger: a store that answers some and leaves others out is neither silent nor full of errors.
        st.executions[k].overdue = true;
        if (stores_.heard[e.store] < e.sent) tellZone(e.store, false, now);
        stores_.goodShare[e.store] -= kOverdueHurts * stores_.goodShare[e.store];
        cutLimit(e.store, e.sent, now);
      }
      if (terms_.mayCancel && (moved || (overdue && silent && !terms_.secondCopies))) {
        st.executions[k].cancelled = true;
        out.cancel(stmt, static_cast<int>(k));
      } else if (overdue && terms_.secondCopies && furtherBudget_ >= 1 && k + 1 == st.executions.size()) {
        int s = route(stmt, now);
        if (s < 0 || !mayRunAgain(st, s, now)) continue;
        furtherBudget_ -= 1;
        send(stmt, s, now, out);
        break;
      }
    }
  }
}

// ---- 6. cold share by age ----

double Rules::warmth(int s, TimePoint now) const {
  if (stores_.started[s] == kNever || now - stores_.started[s] >= terms_.coldRamp) return 1;
  double age = std::max(0.0, (now - stores_.started[s]) / terms_.coldRamp);
  return terms_.coldFrom + (1 - terms_.coldFrom) * age;
}

// Danger: hundreds of fronts, each with a budget of less than one statement, would all send their first one
// at once. Each starts in debt by a random part of one, so that together they send what they have earned. A
// debt by the dearest one's work would keep a store empty until it is warm.
void Rules::begins(int s, TimePoint at, TimePoint now) {
  if (at <= stores_.started[s]) return;
  stores_.started[s] = at, stores_.goodShare[s] = 1, stores_.coldFilled[s] = now;
  stores_.coldBudget[s] = -unit(chance_), stores_.crowdedAt[s] = kNever;  // its table is empty again
}

// What is left by now of a rate as it stood after the last arrival.
double Rules::remembered(const GroupState& g, TimePoint now) const {
  return std::exp(-((now - g.rated) / memory_));
}

// In statements of mean work. Danger: fronts don't see one another; each keeps to its part by a member's
// usual work, of which a statement that comes brings a share; the last one says little of a light front.
void Rules::fillCold(int s, TimePoint now) {
  if (stores_.group[s] < 0 || warmth(s, now) >= 1) return;
  const GroupState& g = groups_[stores_.group[s]];
  double members = std::max<double>(1, static_cast<double>(g.members.size()));
  double offered = g.workRate * remembered(g, now);
  double rate = terms_.coldMultiple * kColdHeadroom * warmth(s, now) * offered / (members * meanWork_);
  stores_.coldBudget[s] = std::min(stores_.coldBudget[s] + rate * (now - stores_.coldFilled[s]).seconds(),
                                   rate * terms_.coldWindow.seconds() * kColdBurst);
  stores_.coldFilled[s] = now;
}

void Rules::send(int stmt, int s, TimePoint now, Writer& out) {
  Stmt& st = stmts_[stmt];
  const Workload& w = terms_.workloads[st.workload];
  bool paced = stores_.limit[s] >= 1 || stores_.freeAt[s] > now;
  TimePoint leaveBy = st.giveUpAt;
  // Danger: a connection takes its time to come up; a repeat that leaves after the window takes effect again.
  for (const Execution& e : st.executions)
    if (e.mayHaveRun && w.effect == Effect::deduplicated)
      leaveBy = std::min(leaveBy, e.sent + w.window - terms_.tick);
  st.executions.push_back({.store = s, .sent = now, .out = true, .paced = paced});
  ++stores_.out[s];
  stores_.freeAt[s] = std::max(now, stores_.freeAt[s]) + typical_[st.workload] * (1 / stores_.limit[s]);
  if (warmth(s, now) < 1) stores_.coldBudget[s] -= least_[st.workload].seconds() / meanWork_;
  if (stores_.block[s] > Span{}) stores_.blockedUntil[s] = now + stores_.block[s];  // a trial: one at a time
  // Danger: a connection takes its time to come up; a bounded read that leaves too late is a stale one.
  bool current = w.level != Level::any && w.level != Level::write && !terms_.storesCheck;
  if (current && s != groups_[st.group].primary) {
    if (w.level == Level::bounded) leaveBy = std::min(leaveBy, stores_.position[s] + w.bound);
  } else if (current && terms_.knownAfter > Span{}) {
    // Danger: meanwhile an answer may tell that this is no primary any more, and counts though unread.
    leaveBy = std::min(leaveBy, now + terms_.knownAfter * kUnread);
  }
  out.send(stmt, s, st.giveUpAt, leaveBy);
}

// ---- facts and the round ----

void Rules::arrived(int stmt, const Arrival& a, TimePoint now) {
  if (static_cast<int>(stmts_.size()) <= stmt) stmts_.resize(stmt + 1);
  if (static_cast<int>(groups_.size()) <= a.group) groups_.resize(a.group + 1);
  Stmt& st = stmts_[stmt] = Stmt{};
  st.workload = a.workload, st.group = a.group, st.tenant = a.tenant, st.session = a.session;
  st.open = true, st.giveUpAt = a.giveUpAt;
  const Workload& w = terms_.workloads[a.workload];
  // Danger: a client that repeats has waited before; taken for new it is often late, at others' cost.
  st.arrived = a.repeated ? now - w.slo * kRepeatAge : now;
  if (w.level == Level::fresh) st.needs = now;
  // At the most advanced replica a fresh read is turned away until the log has come; it waits for that.
  if (w.level == Level::fresh && terms_.storesCheck) st.notBefore = now + terms_.tick * 4;
  if (w.level == Level::session && terms_.tokensCarried) {
    if (a.sinceWrite) st.needs = now - *a.sinceWrite + terms_.tick;
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
  open_.push_back(stmt);
  g.waiting.push_back(stmt);
}

void Rules::resolved(int stmt, const Result& r, TimePoint now) {
  Stmt& st = stmts_[stmt];
  Execution& e = st.executions[r.execution];
  const Workload& w = terms_.workloads[st.workload];
  if (std::exchange(e.out, false)) --stores_.out[e.store], used_.push_back(e.store);
  e.mayHaveRun = !(r.ending == Ending::full || r.ending == Ending::connectFailed ||
                   r.ending == Ending::moot || r.ending == Ending::miss);
  bool noPrimary = r.ending == Ending::miss && w.level == Level::write;
  Role role = noPrimary ? Role::replica : r.role;
  learnRole(e.store, role, role == Role::primary ? e.sent : now, false, now);
  if (r.position && r.role == Role::replica) {
    learnPosition(e.store, *r.position, Span{}, now);
    lookLater(e.store, now - *r.position, Span{}, now);
  }
  learnHealth(e.store, st.workload, r, e.sent, e.paced, now);
  if (r.ending == Ending::ok) {
    least_[st.workload] = std::min(least_[st.workload] * (1 + kDrift),
                                   r.took * 0.5 + least_[st.workload] * 0.5);
    if (w.level == Level::write && !terms_.tokensCarried) {
      // Danger: sessions pile up for as long as a front runs; past the cap all count as having written last.
      if (sessions_.size() >= kSessionCap) {
        for (const auto& known : sessions_) sessionFloor_ = std::max(sessionFloor_, known.second);
        sessions_.clear();
      }
      TimePoint& last = sessions_.try_emplace(st.session, sessionFloor_).first->second;
      last = std::max(last, r.position.value_or(now));  // it was committed before it was answered
    }
  }
  if (r.report.position) learnPosition(e.store, *r.report.position, refresh_ + reportAge_, now);
  st.open &= !r.closed, st.tries += r.ending == Ending::miss;
  if (!st.open) return;
  if (r.ending == Ending::error || r.ending == Ending::full)
    st.notBefore = now + terms_.tick * static_cast<double>(st.executions.size() - 1);
  if (!isOut(st)) groups_[st.group].waiting.push_back(stmt);
}

void Rules::gone(int stmt) { stmts_[stmt].open = false; }

void Rules::woken() { wakeAt_ = kNever; }

// Danger: of what was read by the clock before and what is read by it now, one is wrong, and together they
// would prove a stale read fresh. Positions count as the older, what reads in hand need as the later of both
// readings; last commits, which are compared with positions alone, move with the clock.
void Rules::clockStepped(Span ahead) {
  Span older = std::max(ahead, Span{}), later = older - ahead;
  for (auto* known : {&stores_.position, &stores_.reported})
    for (TimePoint& at : *known) at = at > kNever ? at - older : at;
  for (int stmt : open_)
    if (TimePoint& needs = stmts_[stmt].needs; needs > kNever) needs = needs + later;
  for (auto& known : sessions_) known.second = known.second - ahead;
  if (sessionFloor_ > kNever) sessionFloor_ = sessionFloor_ - ahead;
}

void Rules::decide(TimePoint now, Writer& out) {
  if (terms_.mustAsk && askAt_ > kNever && askAt_ <= now) askAt_ = kNever, out.watchList();
  Span gap;
  double fade = 0;
  for (std::size_t s = 0; s < stores_.group.size(); ++s) {
    fillCold(static_cast<int>(s), now);
    if (Span its = now - stores_.faded[s]; its != gap)  // nearly always the last one's
      gap = its, fade = 1 - std::exp(-(its / (smallestSlo_ * kForget)));
    stores_.goodShare[s] += fade * (1 - stores_.goodShare[s]);
    stores_.speed[s] += fade * (1 - stores_.speed[s]);
    double back = std::min(1.0, firstLimit_);
    if (stores_.limit[s] < back)
      setLimit(static_cast<int>(s), stores_.limit[s] + fade * (back - stores_.limit[s]), now);
    stores_.faded[s] = now;
  }
  // Danger: idle connections of hundreds of fronts fill the tables of stores that accept few. Given back at
  // all stores for one that refused, they would be made anew for each statement while a zone is away.
  for (int s : used_)
    if (stores_.out[s] == 0 && now - std::max(crowdedAt_, stores_.crowdedAt[s]) < terms_.coldRamp)
      out.release(s);
  used_.clear();
  watchExecutions(now, out);
  probeRound(now, out);  // before reads are placed: they may await the answer
  for (int g = 0; g < static_cast<int>(groups_.size()); ++g) dispatch(g, now, out), shed(g, now, out);
  std::erase_if(open_, [&](int stmt) { return !stmts_[stmt].open; });
  Span pace = terms_.tick * (open_.empty() ? 8 : 2);
  if (wakeAt_ <= now) wakeAt_ = now + pace, out.wake(pace);
}

}  // namespace reedchute

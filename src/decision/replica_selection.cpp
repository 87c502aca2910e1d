#include "decision/replica_selection.h"

#include <algorithm>

#include "decision/probe_scheduler.h"
#include "decision/store_modules.h"

namespace reedchute {
namespace {

constexpr double kFullWeightLag = 0.25;  // of the bound: more lag lowers the weight
constexpr double kLeastWeight = 0.10;    // factor of a replica at its bound, or tried before
constexpr double kReturnRamp = 10;  // smallest SLO times until a returned replica has its weight
constexpr double kSuspectZoneWeight = 0.02;  // factor
constexpr double kSmallestWeight = 1e-9;
constexpr double kNextHostAfter = 0.1;  // of the SLO time that a long read waits for one more host
constexpr double kLongReadMembers = 0.34;   // of a group that long reads may take
constexpr double kHostShare = 0.5;          // of a host's limit that short reads may fill
constexpr double kLongReadShare = 2;        // of a replica's limit that long reads may fill
constexpr double kPrimaryReadShare = 0.75;  // of the primary's limit that reads may fill
constexpr double kProbeWait = 0.1;          // of the SLO time that a read awaits a probe
constexpr double kSearchGap = 0.1;          // of the SLO time, between two tries at members in turn
constexpr double kSearchAgain = 0.5;        // of the SLO time, before a replica is tried again

bool readsCurrentData(Level level) {
  return level != Level::write && level != Level::any;
}

}  // namespace

ReplicaSelection::ReplicaSelection(const EngineSettings& settings, StoreModules& stores,
                                   ProbeScheduler& probes, RandomSource& random)
    : settings_(settings),
      stores_(stores),
      probes_(probes),
      random_(random),
      manyProxies_(stores.limits.isSharedByManyProxies()) {}

// Falls in a line from where lag counts to the bound.
double ReplicaSelection::lagWeight(int store, const Workload& workload, TimePoint now) const {
  Duration bound = workload.stalenessBound;
  Duration lag = now - stores_.freshness.position(store);
  Duration tolerated = bound * kFullWeightLag;
  if (workload.level != Level::bounded || lag <= tolerated) return 1;
  if (lag >= bound) return settings_.storesRejectStaleReads ? kLeastWeight : 0;
  return 1 - (1 - kLeastWeight) * ((lag - tolerated) / (bound - tolerated));
}

double ReplicaSelection::weight(int store, const StatementState& statement, TimePoint now) const {
  const Workload& workload = settings_.workloads[statement.workload];
  double weight = stores_.endpoints.weight(store) * lagWeight(store, workload, now) *
                  stores_.slowStart.warmth(store, now);
  if (workload.level == Level::bounded) {
    TimePoint readmittedAt = stores_.freshness.readmittedAt(store, statement.workload);
    double ramp = (now - readmittedAt) / (stores_.statistics.smallestSlo() * kReturnRamp);
    weight *= std::clamp(ramp, kLeastWeight, 1.0);
  }
  bool isSuspect = stores_.isInSuspectZone(store, now);
  weight *= isSuspect ? kSuspectZoneWeight : stores_.endpoints.zoneShare(store);
  weight *= stores_.health.weight(store);
  for (const Attempt& attempt : statement.attempts)
    if (attempt.store == store) weight *= kLeastWeight;
  return std::max(weight, kSmallestWeight);
}

int ReplicaSelection::leastOutstanding(const std::vector<int>& candidates,
                                       const StatementState& statement, TimePoint now) {
  int best = kNoStore;
  double bestLoad = 0;
  double equalWeight = 0;  // of all that are as good as the best
  for (int store : candidates) {
    double storeWeight = weight(store, statement, now);
    double load = stores_.limits.outstanding(store) / storeWeight;
    if (best < 0 || load < bestLoad) {
      best = store;
      bestLoad = load;
      equalWeight = storeWeight;
    } else if (load == bestLoad) {
      equalWeight += storeWeight;
      if (drawUnit(random_) * equalWeight < storeWeight) best = store;
    }
  }
  return best;
}

bool ReplicaSelection::hasCapacity(int store, const StatementState& statement,
                                   TimePoint now) const {
  for (const Attempt& attempt : statement.attempts)
    if (attempt.isOutstanding && attempt.store == store) return false;
  Level level = settings_.workloads[statement.workload].level;
  CapacityRequest request{.mustBeCurrent = level == Level::write || level == Level::fresh,
                          .typicalTime = stores_.statistics.typicalTime(statement.workload)};
  if (stores_.statistics.isLongRead(statement.workload)) request.limitShare = kLongReadShare;
  bool isPrimary = store == stores_.primaries.primary(statement.group);
  if (isPrimary && !request.mustBeCurrent) request.limitShare = kPrimaryReadShare;
  return stores_.limits.hasCapacity(store, request, now) && stores_.slowStart.hasBudget(store, now);
}

// Not while the primary is cold or after a cut, as writes come first there. A report alone is no
// proof of the role, and stores that check reads themselves need none.
bool ReplicaSelection::primaryHasRoom(int group, const StatementState& statement,
                                      TimePoint now) const {
  if (!stores_.hasUsablePrimary(group, now)) return false;
  if (stores_.primaries.isPrimaryOnlyReported(group)) return false;
  if (settings_.storesRejectStaleReads) return false;
  int primary = stores_.primaries.primary(group);
  return stores_.limits.limit(primary) >= stores_.limits.initialLimit() &&
         !stores_.isInSuspectZone(primary, now) && stores_.slowStart.isWarm(primary, now) &&
         hasCapacity(primary, statement, now);
}

bool ReplicaSelection::mayServeLongReads(int store) const {
  int group = stores_.endpoints.group(store);
  return store != stores_.primaries.primary(group) && stores_.endpoints.isUp(store) &&
         stores_.health.mayServeLongReads(store);
}

// A replica may hold up its log for a long read; spread over all, long reads would leave none
// fresh. They fill members in list order and wait before they take one more; short reads that any
// replica may answer go there first (test: longReads). Many proxies that all filled one host first
// would overrun it, so they take hosts by the work of long reads (test: hostsShared).
ReplicaSelection::Packing ReplicaSelection::packingOf(const StatementState& statement,
                                                      TimePoint now) const {
  const Workload& workload = settings_.workloads[statement.workload];
  int members = stores_.endpoints.groupSize(statement.group);
  Packing packing;
  packing.isLongRead = stores_.statistics.isLongRead(statement.workload);
  packing.avoidsOthers = workload.level == Level::any && !packing.isLongRead &&
                         stores_.statistics.hasLongReads();
  if (manyProxies_) {
    packing.mostHosts = stores_.statistics.longReadHosts(members);
    packing.hostsInUse = packing.mostHosts;
    return packing;
  }
  packing.mostHosts = std::max(1, static_cast<int>(members * kLongReadMembers));
  double waits = (now - statement.arrived) / (workload.slo * kNextHostAfter);
  packing.hostsInUse = std::min(packing.mostHosts, 1 + static_cast<int>(waits));
  return packing;
}

// Fills `fitting_` and `hosting_`.
ReplicaSelection::Replicas ReplicaSelection::collectReplicas(const StatementState& statement,
                                                             const Packing& packing,
                                                             TimePoint now) {
  bool isBounded = settings_.workloads[statement.workload].level == Level::bounded;
  Replicas replicas;
  fitting_.clear();
  hosting_.clear();
  for (int store : stores_.endpoints.members(statement.group)) {
    if (store == stores_.primaries.primary(statement.group)) continue;
    if (!stores_.endpoints.isUp(store)) continue;
    if (mayServeLongReads(store)) ++replicas.hosts;
    if (!stores_.isUsable(store, now) || stores_.endpoints.zoneShare(store) <= 0) continue;
    int rank = replicas.hosts;
    if (packing.isLongRead && (rank > packing.hostsInUse || rank < 1)) continue;
    bool isKnownStale = isBounded && stores_.freshness.hasPosition(store) &&
                        stores_.freshness.isDrained(store, statement.workload);
    if (probes_.isProbing(store) && !isKnownStale) replicas.awaitsProbe = true;
    if (!stores_.freshness.isFreshEnough(store, statement, now)) continue;
    replicas.hasFreshOne = true;
    if (!hasCapacity(store, statement, now)) continue;
    if (!packing.avoidsOthers || rank > packing.mostHosts)
      fitting_.push_back(store);
    else if (stores_.limits.hasSpareCapacity(store, kHostShare, now))
      hosting_.push_back(store);
  }
  return replicas;
}

int ReplicaSelection::route(const StatementState& statement, TimePoint now) {
  const Workload& workload = settings_.workloads[statement.workload];
  if (workload.level == Level::write) return routeToCurrent(statement, now);
  Packing packing = packingOf(statement, now);
  Replicas replicas = collectReplicas(statement, packing, now);
  // A proxy with light traffic would hear too late that short reads fill a host; there they take
  // hosts like any other replica.
  if (manyProxies_) {
    fitting_.insert(fitting_.end(), hosting_.begin(), hosting_.end());
    hosting_.clear();
  }
  if (!hosting_.empty()) return leastOutstanding(hosting_, statement, now);
  if (!fitting_.empty()) return leastOutstanding(fitting_, statement, now);
  // With many proxies nearly every bounded read needs a probe, and half of the probes find the
  // replica too old. Where the primary has room, the read goes there (test: primaryFirst).
  bool isBounded = workload.level == Level::bounded;
  if (manyProxies_ && isBounded && primaryHasRoom(statement.group, statement, now))
    return stores_.primaries.primary(statement.group);
  bool mayAwaitProbe = now - statement.arrived < workload.slo * kProbeWait;
  if (!replicas.hasFreshOne && replicas.awaitsProbe && mayAwaitProbe) return kNoStore;
  if (packing.isLongRead && replicas.hosts > 0) return kNoStore;
  return routeToCurrent(statement, now);
}

// Probes may fail where statements don't, so a drained replica that is due for a probe gets a read.
int ReplicaSelection::mostAdvancedReplica(const StatementState& statement, TimePoint now) {
  bool isBounded = settings_.workloads[statement.workload].level == Level::bounded;
  const Freshness& freshness = stores_.freshness;
  int best = kNoStore;
  for (int store : stores_.endpoints.members(statement.group)) {
    if (store == stores_.primaries.primary(statement.group)) continue;
    bool isTooOld = freshness.isDrainedForAllBounds(store) &&
                    !(isBounded && probes_.isDue(store, now));
    if (isTooOld || !stores_.isUsable(store, now) || !hasCapacity(store, statement, now)) continue;
    if (best < 0 || freshness.position(store) > freshness.position(best)) best = store;
  }
  if (best >= 0 && freshness.isDrainedForAllBounds(best)) probes_.deferLong(best, now);
  return best;
}

int ReplicaSelection::routeToCurrent(const StatementState& statement, TimePoint now) {
  Level level = settings_.workloads[statement.workload].level;
  int group = statement.group;
  int mostMisses = level == Level::bounded ? 2 : 1;
  if (settings_.storesRejectStaleReads && readsCurrentData(level) &&
      statement.misses < mostMisses) {
    int replica = mostAdvancedReplica(statement, now);
    if (replica >= 0) return replica;
  }
  int primary = stores_.primaries.primary(group);
  // A report may be untrue. Until the store itself has responded as primary it gets writes, which a
  // replica turns away untouched, but no read that must be current (test: untrueReport).
  bool needsProof = readsCurrentData(level) && !settings_.storesRejectStaleReads;
  if (needsProof && primary >= 0 && stores_.primaries.isPrimaryOnlyReported(group)) return kNoStore;
  if (stores_.hasUsablePrimary(group, now))
    return hasCapacity(primary, statement, now) ? primary : kNoStore;
  return level == Level::write ? searchPrimary(statement, now) : kNoStore;
}

// While no primary is known or it doesn't respond, writes try members in turn, one at a time for
// each group.
int ReplicaSelection::searchPrimary(const StatementState& statement, TimePoint now) {
  int group = statement.group;
  PrimaryTracker& primaries = stores_.primaries;
  const std::vector<int>& members = stores_.endpoints.members(group);
  int memberCount = static_cast<int>(members.size());
  if (statement.misses >= std::min(memberCount, (settings_.maxAttempts + 1) / 2)) return kNoStore;
  Duration slo = settings_.workloads[statement.workload].slo;
  if (now - primaries.lastSearch(group) < slo * kSearchGap) return kNoStore;
  Duration pause = slo * kSearchAgain;
  // A jammed primary looks silent to a proxy with light traffic, whose writes would spend their
  // attempts on replicas (test: jammedPrimary).
  int primary = primaries.primary(group);
  if (primary >= 0 && !stores_.health.hasRefusedConnection(primary))
    pause = std::max(pause, stores_.health.ejection(primary));
  int first = primaries.nextCandidate(group);
  for (int turn = first; turn < first + memberCount; ++turn) {
    int store = members[turn % memberCount];
    if (!stores_.isUsable(store, now) || !hasCapacity(store, statement, now)) continue;
    // A member that has just responded as a replica is no primary yet.
    if (now - primaries.lastSeenAsReplica(store) < pause) continue;
    primaries.onSearched(group, (turn + 1) % memberCount, now);
    return store;
  }
  return kNoStore;
}

}  // namespace reedchute

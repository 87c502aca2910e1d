#include "decision/replica_selection.h"

#include <algorithm>

#include "decision/probe_scheduler.h"
#include "decision/store_modules.h"

namespace reedchute {
namespace {

constexpr double kFullWeightLag = 0.25;  // of the staleness bound: more lag lowers the weight
constexpr double kLeastWeight = 0.10;    // factor at the bound, when readmitted, or tried before
constexpr double kReadmissionRamp = 10;  // smallest SLO times until a replica has full weight
constexpr double kSuspectZoneWeight = 0.02;  // factor for a replica in a suspect zone
constexpr double kSmallestWeight = 1e-9;
constexpr double kNextStoreAfter = 0.1;     // of the SLO time: wait before using one more store
constexpr double kLongReadMembers = 0.34;   // of a group's members: used by long reads
constexpr double kShortReadShare = 0.5;     // of a long-read store's limit: used by short reads
constexpr double kLongReadShare = 2;        // of a replica's limit: used by long reads
constexpr double kPrimaryReadShare = 0.75;  // of the primary's limit: used by reads
constexpr double kProbeWait = 0.1;          // of the SLO time: longest wait of a read for a probe
constexpr double kSearchInterval = 0.1;     // of the SLO time, between two steps of a search
constexpr double kReplicaRetryDelay = 0.5;  // of the SLO time, until a replica is tried again

bool needsFreshData(Level level) {
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

// Falls linearly from 1 at kFullWeightLag to kLeastWeight at the staleness bound.
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
                  stores_.slowStart.warmth(store, now) * stores_.slowStart.preference(store, now);
  if (workload.level == Level::bounded) {
    TimePoint readmittedAt = stores_.freshness.readmittedAt(store, statement.workload);
    double ramp = (now - readmittedAt) / (stores_.statistics.smallestSlo() * kReadmissionRamp);
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
  double tiedWeight = 0;  // sum of the weights of all candidates tied for the best
  for (int store : candidates) {
    double storeWeight = weight(store, statement, now);
    double load = stores_.limits.outstanding(store) / storeWeight;
    if (best < 0 || load < bestLoad) {
      best = store;
      bestLoad = load;
      tiedWeight = storeWeight;
    } else if (load == bestLoad) {
      tiedWeight += storeWeight;
      if (drawUnit(random_) * tiedWeight < storeWeight) best = store;
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
  if (!stores_.limits.hasCapacity(store, request, now)) return false;
  bool hasAlternative = !request.mustBeCurrent && stores_.throughput.hasWarmMember(statement.group);
  double work = stores_.statistics.relativeWork(statement.workload);
  return stores_.slowStart.mayReceive(store, work, hasAlternative, now);
}

// False while the primary is cold or its limit was cut, because writes have priority there. A
// report alone doesn't prove the role, and stores that reject stale reads don't need the primary
// for bounded reads.
bool ReplicaSelection::primaryHasCapacity(int group, const StatementState& statement,
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

// A replica may stop applying its log during a long read; spread over all replicas, long reads
// would leave none fresh. So they fill members in the order of the endpoint list and wait before
// they use one more, and short reads that any replica may answer are sent to these members first
// (test: longReads). If many proxies all filled the same store first, they would overload it; there
// the number of stores follows from the work of long reads (test: hostsShared).
ReplicaSelection::Packing ReplicaSelection::packingOf(const StatementState& statement,
                                                      TimePoint now) const {
  const Workload& workload = settings_.workloads[statement.workload];
  int members = stores_.endpoints.groupSize(statement.group);
  Packing packing;
  packing.isLongRead = stores_.statistics.isLongRead(statement.workload);
  packing.prefersLongReadStores = workload.level == Level::any && !packing.isLongRead &&
                                  stores_.statistics.hasLongReads();
  if (manyProxies_) {
    packing.maxStores = stores_.statistics.longReadStores(members);
    packing.storesInUse = packing.maxStores;
    return packing;
  }
  packing.maxStores = std::max(1, static_cast<int>(members * kLongReadMembers));
  double extraStores = (now - statement.arrived) / (workload.slo * kNextStoreAfter);
  packing.storesInUse = std::min(packing.maxStores, 1 + static_cast<int>(extraStores));
  return packing;
}

// Sets `eligible_` and `eligibleLongReadStores_`.
ReplicaSelection::Replicas ReplicaSelection::collectReplicas(const StatementState& statement,
                                                             const Packing& packing,
                                                             TimePoint now) {
  bool isBounded = settings_.workloads[statement.workload].level == Level::bounded;
  Replicas replicas;
  eligible_.clear();
  eligibleLongReadStores_.clear();
  for (int store : stores_.endpoints.members(statement.group)) {
    if (store == stores_.primaries.primary(statement.group)) continue;
    if (!stores_.endpoints.isUp(store)) continue;
    if (mayServeLongReads(store)) ++replicas.longReadStores;
    if (!stores_.isUsable(store, now) || stores_.endpoints.zoneShare(store) <= 0) continue;
    int rank = replicas.longReadStores;
    if (packing.isLongRead && (rank > packing.storesInUse || rank < 1)) continue;
    bool isKnownStale = isBounded && stores_.freshness.hasPosition(store) &&
                        stores_.freshness.isDrained(store, statement.workload);
    if (probes_.isProbing(store) && !isKnownStale) replicas.awaitsProbe = true;
    if (!stores_.freshness.isFreshEnough(store, statement, now)) continue;
    replicas.hasFreshReplica = true;
    if (!hasCapacity(store, statement, now)) continue;
    if (!packing.prefersLongReadStores || rank > packing.maxStores)
      eligible_.push_back(store);
    else if (stores_.limits.hasSpareCapacity(store, kShortReadShare, now))
      eligibleLongReadStores_.push_back(store);
  }
  return replicas;
}

int ReplicaSelection::route(const StatementState& statement, TimePoint now) {
  const Workload& workload = settings_.workloads[statement.workload];
  if (workload.level == Level::write) return routeToCurrent(statement, now);
  Packing packing = packingOf(statement, now);
  Replicas replicas = collectReplicas(statement, packing, now);
  // If no store of long reads has reached the page before this one, any other store may serve it.
  if (packing.isLongRead && statement.precedingRead && !replicas.hasFreshReplica) {
    packing.isLongRead = false;
    replicas = collectReplicas(statement, packing, now);
  }
  // A proxy with light traffic would learn too late that short reads have filled a store of long
  // reads, so with many proxies these stores have no priority over other replicas.
  if (manyProxies_) {
    eligible_.insert(eligible_.end(), eligibleLongReadStores_.begin(),
                     eligibleLongReadStores_.end());
    eligibleLongReadStores_.clear();
  }
  if (!eligibleLongReadStores_.empty())
    return leastOutstanding(eligibleLongReadStores_, statement, now);
  if (!eligible_.empty()) return leastOutstanding(eligible_, statement, now);
  // With many proxies nearly every bounded read needs a probe, and half of the probes find the
  // replica too stale. If the primary has capacity, it gets the read (test: primaryFirst).
  bool isBounded = workload.level == Level::bounded;
  if (manyProxies_ && isBounded && primaryHasCapacity(statement.group, statement, now))
    return stores_.primaries.primary(statement.group);
  bool mayAwaitProbe = now - statement.arrived < workload.slo * kProbeWait;
  if (!replicas.hasFreshReplica && replicas.awaitsProbe && mayAwaitProbe) return kNoStore;
  if (packing.isLongRead && replicas.longReadStores > 0) return kNoStore;
  return routeToCurrent(statement, now);
}

// Probes may fail at a store that serves statements, so a drained replica that is due for a probe
// may get a bounded read instead.
int ReplicaSelection::mostAdvancedReplica(const StatementState& statement, TimePoint now) {
  bool isBounded = settings_.workloads[statement.workload].level == Level::bounded;
  const Freshness& freshness = stores_.freshness;
  int best = kNoStore;
  for (int store : stores_.endpoints.members(statement.group)) {
    if (store == stores_.primaries.primary(statement.group)) continue;
    bool isTooOld = freshness.isDrainedForAllBounds(store) &&
                    !(isBounded && probes_.isDue(store, now));
    if (isTooOld || !freshness.hasReachedPrecedingRead(store, statement)) continue;
    if (!stores_.isUsable(store, now) || !hasCapacity(store, statement, now)) continue;
    if (best < 0 || freshness.position(store) > freshness.position(best)) best = store;
  }
  if (best >= 0 && freshness.isDrainedForAllBounds(best)) probes_.deferLong(best, now);
  return best;
}

int ReplicaSelection::routeToCurrent(const StatementState& statement, TimePoint now) {
  Level level = settings_.workloads[statement.workload].level;
  int group = statement.group;
  int maxMisses = level == Level::bounded ? 2 : 1;
  if (settings_.storesRejectStaleReads && needsFreshData(level) && statement.misses < maxMisses) {
    int replica = mostAdvancedReplica(statement, now);
    if (replica >= 0) return replica;
  }
  int primary = stores_.primaries.primary(group);
  // A report may be untrue. Until the store itself has responded as primary it receives writes,
  // which a replica rejects without executing them, but no read that needs current data (test:
  // untrueReport).
  bool needsProof = stores_.freshness.reliesOnKnownFreshness(statement);
  if (needsProof && primary >= 0 && stores_.primaries.isPrimaryOnlyReported(group)) return kNoStore;
  if (stores_.hasUsablePrimary(group, now))
    return hasCapacity(primary, statement, now) ? primary : kNoStore;
  return level == Level::write ? searchPrimary(statement, now) : kNoStore;
}

// While no primary is known or it doesn't respond, writes are sent to the group's members in turn,
// with at least kSearchInterval between two of them.
int ReplicaSelection::searchPrimary(const StatementState& statement, TimePoint now) {
  int group = statement.group;
  PrimaryTracker& primaries = stores_.primaries;
  const std::vector<int>& members = stores_.endpoints.members(group);
  int memberCount = static_cast<int>(members.size());
  if (statement.misses >= std::min(memberCount, (settings_.maxAttempts + 1) / 2)) return kNoStore;
  Duration slo = settings_.workloads[statement.workload].slo;
  if (now - primaries.lastSearch(group) < slo * kSearchInterval) return kNoStore;
  Duration pause = slo * kReplicaRetryDelay;
  // To a proxy with light traffic an overloaded primary looks unresponsive, and its writes would
  // use up their attempts on replicas (test: jammedPrimary).
  int primary = primaries.primary(group);
  if (primary >= 0 && !stores_.health.hasRefusedConnection(primary))
    pause = std::max(pause, stores_.health.ejection(primary));
  int first = primaries.nextCandidate(group);
  for (int turn = first; turn < first + memberCount; ++turn) {
    int store = members[turn % memberCount];
    if (!stores_.isUsable(store, now) || !hasCapacity(store, statement, now)) continue;
    // A member that has just responded as a replica is unlikely to be the primary yet.
    if (now - primaries.lastSeenAsReplica(store) < pause) continue;
    primaries.onSearched(group, (turn + 1) % memberCount, now);
    return store;
  }
  return kNoStore;
}

}  // namespace reedchute

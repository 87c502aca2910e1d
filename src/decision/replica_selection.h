// Selects the store for a statement.
//
// A read is sent to the replica with the fewest outstanding attempts for its weight, among those
// that are fresh enough and have capacity; if there is none, to the primary. A write is sent to the
// primary, or to the group's members in turn while no primary is known. Keeps no state of its own:
// it reads the store modules, chooses at random among equal replicas, and records its search for a
// primary in the primary tracker and deferred probes in the probe scheduler.
#pragma once

#include <vector>

#include "base/time.h"
#include "decision/random.h"
#include "decision/types.h"

namespace reedchute {

class ProbeScheduler;
struct StoreModules;

constexpr int kNoStore = -1;

class ReplicaSelection {
 public:
  ReplicaSelection(const EngineSettings& settings, StoreModules& stores, ProbeScheduler& probes,
                   RandomSource& random);

  // Returns the store for a statement, or kNoStore if it has to wait.
  int route(const StatementState& statement, TimePoint now);
  // Returns the candidate with the fewest outstanding attempts for its weight, or kNoStore if there
  // are no candidates.
  int leastOutstanding(const std::vector<int>& candidates, const StatementState& statement,
                       TimePoint now);

  // True if the store's concurrency limit and slow-start budget allow the statement.
  bool hasCapacity(int store, const StatementState& statement, TimePoint now) const;
  // True if the primary has capacity for a bounded read, which then needn't wait for a probe.
  bool primaryHasCapacity(int group, const StatementState& statement, TimePoint now) const;
  // True if the store is one of those among which long reads are packed.
  bool mayServeLongReads(int store) const;

 private:
  // How long reads are packed onto few members of the group, as it concerns one statement.
  struct Packing {
    bool isLongRead = false;
    bool prefersLongReadStores = false;  // a short read that stores of long reads may answer
    int storesInUse = 0;                 // members that long reads may use at present
    int maxStores = 0;                   // members that long reads may ever use
  };
  struct Replicas {
    int longReadStores = 0;        // replicas that may serve long reads
    bool hasFreshReplica = false;  // a usable replica is fresh enough, with or without capacity
    bool awaitsProbe = false;      // a probe in flight may show a replica to be fresh
  };

  Packing packingOf(const StatementState& statement, TimePoint now) const;
  Replicas collectReplicas(const StatementState& statement, const Packing& packing, TimePoint now);
  double lagWeight(int store, const Workload& workload, TimePoint now) const;
  double weight(int store, const StatementState& statement, TimePoint now) const;
  int routeToCurrent(const StatementState& statement, TimePoint now);
  int mostAdvancedReplica(const StatementState& statement, TimePoint now);
  int searchPrimary(const StatementState& statement, TimePoint now);

  const EngineSettings& settings_;
  StoreModules& stores_;
  ProbeScheduler& probes_;
  RandomSource& random_;
  const bool manyProxies_;
  std::vector<int> eligible_;                // replicas for the statement being routed
  std::vector<int> eligibleLongReadStores_;  // those that serve long reads, for a short read
};

}  // namespace reedchute

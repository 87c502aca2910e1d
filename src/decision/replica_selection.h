// Which store a statement goes to.
//
// Reads go to the replica with the fewest outstanding attempts for its weight, among those that are
// fresh enough and have room; what no replica may take goes to the primary. Writes go to the
// primary, or try members in turn while none is known. Owns no state: it reads the modules of
// stores, draws where replicas are equal, and notes in the tracker and the probe scheduler which
// turn it has taken.
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

  // The store for a statement, or kNoStore to hold it.
  int route(const StatementState& statement, TimePoint now);
  // The store with the fewest outstanding attempts for its weight, or kNoStore if there is none.
  int leastOutstanding(const std::vector<int>& candidates, const StatementState& statement,
                       TimePoint now);

  // True where the store's limits have a place for the statement.
  bool hasCapacity(int store, const StatementState& statement, TimePoint now) const;
  // True where the primary has room for a bounded read that awaits no probe.
  bool primaryHasRoom(int group, const StatementState& statement, TimePoint now) const;
  // True where a store takes its turn as host of long reads.
  bool mayServeLongReads(int store) const;

 private:
  // How long reads are packed on few members of the group, for one statement.
  struct Packing {
    bool isLongRead = false;
    bool avoidsOthers = false;  // a short read that hosts of long reads may answer
    int hostsInUse = 0;         // members that long reads fill now
    int mostHosts = 0;
  };
  struct Replicas {
    int hosts = 0;  // in list order
    bool hasFreshOne = false;
    bool awaitsProbe = false;  // a probe under way may show one to be fresh
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
  std::vector<int> fitting_;  // of the statement being routed
  std::vector<int> hosting_;  // that are hosts of long reads, for a short read
};

}  // namespace reedchute

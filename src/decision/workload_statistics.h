// How long the statements of each workload take, and how much of the work long reads bring.
//
// Owns the running times of workloads. Long reads are reads of any age that run so long that a
// replica which holds up its log for them falls behind the smallest staleness bound.
#pragma once

#include <vector>

#include "base/time.h"
#include "decision/types.h"

namespace reedchute {

class WorkloadStatistics {
 public:
  explicit WorkloadStatistics(const EngineSettings& settings);

  // The smallest staleness bound of bounded reads, or the first SLO time where none are shorter.
  Duration smallestBound() const { return smallestBound_; }
  Duration smallestSlo() const { return smallestSlo_; }
  // The time that statements are taken to need before any has been answered.
  Duration initialTime() const;

  Duration typicalTime(int workload) const { return typicalTime_[workload]; }
  // About the least time that statements of the workload take.
  Duration leastTime(int workload) const { return leastTime_[workload]; }
  // Of a statement, in store seconds.
  double meanWork() const { return meanWork_; }
  bool isLongRead(int workload) const;
  bool hasLongReads() const;
  // How many members of a group the long reads take where many proxies share the stores.
  int longReadStores(int groupSize) const;

  void onStatementArrived(int workload);
  void onSuccess(int workload, Duration elapsed);

 private:
  const EngineSettings& settings_;
  Duration smallestBound_;
  Duration smallestSlo_;
  std::vector<Duration> typicalTime_;
  std::vector<Duration> leastTime_;
  double meanWork_ = 0;
  double longReadWork_ = 0.2;  // store seconds, starting with a guess
  double allWork_ = 1;
};

}  // namespace reedchute

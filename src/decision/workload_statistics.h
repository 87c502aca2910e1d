// Measures how long the statements of each workload take, and the share of long reads in all work.
//
// Owns the typical and least times of workloads. Long reads are reads without a freshness
// requirement (Level::any) that take so long that a replica which stops applying its log for one
// lags beyond the smallest staleness bound.
#pragma once

#include <vector>

#include "base/time.h"
#include "decision/types.h"

namespace reedchute {

class WorkloadStatistics {
 public:
  explicit WorkloadStatistics(const EngineSettings& settings);

  // The smallest staleness bound of bounded reads, but at most the SLO time of the first workload.
  Duration smallestBound() const { return smallestBound_; }
  Duration smallestSlo() const { return smallestSlo_; }
  // The assumed time of a statement before any has been answered.
  Duration initialTime() const;

  Duration typicalTime(int workload) const { return typicalTime_[workload]; }
  // Approximately the least time that statements of the workload take.
  Duration leastTime(int workload) const { return leastTime_[workload]; }
  // The mean work of a statement, in seconds of store time.
  double meanWork() const { return meanWork_; }
  bool isLongRead(int workload) const;
  bool hasLongReads() const;
  // The number of a group's members that long reads may use if many proxies share the stores.
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
  double longReadWork_ = 0.2;  // seconds of store time; starts as an assumed share of allWork_
  double allWork_ = 1;         // seconds of store time
};

}  // namespace reedchute

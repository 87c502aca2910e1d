// Measures how long the statements of each workload take, and the share of long reads in all work.
//
// Owns the typical times and the work of workloads. Long reads are reads without a freshness
// requirement (Level::any) that take so long that a replica which stops applying its log for one
// lags beyond the smallest staleness bound.
#pragma once

#include <vector>

#include "base/time.h"
#include "decision/random.h"
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
  // The work of a statement of the workload, in statements of mean work.
  double relativeWork(int workload) const { return work_[workload].calmTime / meanWork_; }
  // The work of a random statement, which a workload provides in proportion to its part of all
  // completed work; in statements of mean work.
  double drawRelativeWork(RandomSource& random) const;
  bool isLongRead(int workload) const;
  bool hasLongReads() const;
  // The number of a group's members that long reads may use if many proxies share the stores.
  int longReadStores(int groupSize) const;

  void onStatementArrived(int workload);
  void onSuccess(int workload, Duration elapsed);

 private:
  // The work of a workload's statements, measured by the time that they take. The time when stores
  // were least busy counts: waiting makes heavy and light statements look alike.
  struct Work {
    double recentTime = 0;  // mean time of the last responses, in seconds
    double calmTime = 0;    // the smallest recentTime, in seconds
    double share = 0;       // of completed statements
    bool isMeasured = false;
  };

  void measureWork(int workload, Duration elapsed);

  const EngineSettings& settings_;
  Duration smallestBound_;
  Duration smallestSlo_;
  std::vector<Duration> typicalTime_;
  std::vector<Work> work_;
  double meanWork_ = 0;        // calmTime of a completed statement, in seconds
  double completed_ = 0;       // statements, up to kMeanStatements
  double longReadWork_ = 0.2;  // seconds of store time; starts as an assumed share of allWork_
  double allWork_ = 1;         // seconds of store time
};

}  // namespace reedchute

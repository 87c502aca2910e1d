#include "decision/workload_statistics.h"

#include <algorithm>

namespace reedchute {
namespace {

constexpr double kInitialTime = 0.25;  // fraction of the SLO time, until responses are received
constexpr double kTypicalWeight = 0.1 * 0.2;  // weight of one response in the typical time
constexpr double kWorkWeight = 0.1;           // weight of one statement in the mean work
constexpr double kLeastTimeDrift = 0.01;  // fraction by which the least time rises at each response
constexpr double kLongReadStoreMargin = 1.5;  // stores for each member's worth of long-read work

}  // namespace

WorkloadStatistics::WorkloadStatistics(const EngineSettings& settings) : settings_(settings) {
  smallestSlo_ = settings_.workloads[0].slo;
  smallestBound_ = smallestSlo_;
  for (const Workload& workload : settings_.workloads) {
    smallestSlo_ = std::min(smallestSlo_, workload.slo);
    if (workload.level == Level::bounded)
      smallestBound_ = std::min(smallestBound_, workload.stalenessBound);
    typicalTime_.push_back(workload.slo * kInitialTime);
    leastTime_.push_back(workload.slo * kInitialTime);
  }
  meanWork_ = smallestSlo_.seconds() * kInitialTime;
}

Duration WorkloadStatistics::initialTime() const {
  return smallestSlo_ * kInitialTime;
}

bool WorkloadStatistics::isLongRead(int workload) const {
  return settings_.workloads[workload].level == Level::any &&
         typicalTime_[workload] > smallestBound_;
}

bool WorkloadStatistics::hasLongReads() const {
  for (int workload = 0; workload < static_cast<int>(typicalTime_.size()); ++workload)
    if (isLongRead(workload)) return true;
  return false;
}

int WorkloadStatistics::longReadStores(int groupSize) const {
  double storeCount = groupSize * kLongReadStoreMargin * longReadWork_ / allWork_;
  return std::clamp(static_cast<int>(storeCount + 0.5), 1, std::max(1, groupSize - 2));
}

void WorkloadStatistics::onStatementArrived(int workload) {
  double work = typicalTime_[workload].seconds();
  allWork_ += work;
  if (isLongRead(workload)) longReadWork_ += work;
  meanWork_ += (leastTime_[workload].seconds() - meanWork_) * kWorkWeight;
}

void WorkloadStatistics::onSuccess(int workload, Duration elapsed) {
  Duration& typical = typicalTime_[workload];
  Duration slo = settings_.workloads[workload].slo;
  typical = typical + (std::min(elapsed, slo) - typical) * kTypicalWeight;
  Duration& least = leastTime_[workload];
  least = std::min(least * (1 + kLeastTimeDrift), elapsed * 0.5 + least * 0.5);
}

}  // namespace reedchute

#include "decision/workload_statistics.h"

#include <algorithm>

namespace reedchute {
namespace {

constexpr double kSmallestTime = 1e-6;  // seconds
constexpr double kInitialTime = 0.25;   // fraction of the SLO time, until responses are received
constexpr double kTypicalWeight = 0.1 * 0.2;  // weight of one response in the typical time
constexpr double kMeanStatements = 100;       // over which the mean work is taken
constexpr double kRecentWeight = 0.1;         // weight of one response in the recent time
constexpr double kCalmTimeDrift = 0.002;      // rise of the calm time at each response
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
    double initialTime = workload.slo.seconds() * kInitialTime;
    work_.push_back({.recentTime = initialTime, .calmTime = initialTime});
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
}

void WorkloadStatistics::onSuccess(int workload, Duration elapsed) {
  Duration& typical = typicalTime_[workload];
  Duration slo = settings_.workloads[workload].slo;
  typical = typical + (std::min(elapsed, slo) - typical) * kTypicalWeight;
  measureWork(workload, elapsed);
  completed_ = std::min(completed_ + 1, kMeanStatements);
  meanWork_ += (work_[workload].calmTime - meanWork_) / completed_;
  for (Work& work : work_) work.share *= 1 - 1 / completed_;
  work_[workload].share += 1 / completed_;
}

double WorkloadStatistics::drawRelativeWork(RandomSource& random) const {
  double total = 0;
  for (const Work& work : work_) total += work.share * work.calmTime;
  double left = drawUnit(random) * total;
  for (const Work& work : work_) {
    left -= work.share * work.calmTime;
    if (left < 0) return work.calmTime / meanWork_;
  }
  return 1;
}

// Until a workload's first response, its work relative to the others is that of its SLO time.
void WorkloadStatistics::measureWork(int workload, Duration elapsed) {
  double seconds = std::max(elapsed.seconds(), kSmallestTime);
  Work& work = work_[workload];
  if (!work.isMeasured) {
    bool isFirst = std::none_of(work_.begin(), work_.end(),
                                [](const Work& other) { return other.isMeasured; });
    double scale = isFirst ? seconds / work.calmTime : 1;
    for (Work& other : work_) other.calmTime *= scale;
    work.recentTime = work.calmTime = seconds;
    work.isMeasured = true;
    return;
  }
  work.recentTime += (seconds - work.recentTime) * kRecentWeight;
  work.calmTime = std::min(work.calmTime * (1 + kCalmTimeDrift), work.recentTime);
}

}  // namespace reedchute

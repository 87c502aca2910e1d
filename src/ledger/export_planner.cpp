#include "ledger/export_planner.h"

#include <algorithm>
#include <utility>

namespace reedchute::ledger {
namespace {

bool hasSameContent(const Watermark& held, const BatchPlan& batch) {
  return held.last == batch.last && held.digest == batch.digest;
}

}  // namespace

void ExportPlanner::resume(std::optional<BatchPlan> confirmed, std::optional<BatchPlan> planned) {
  confirmed_ = std::move(confirmed);
  planned_ = std::move(planned);
  if (planned_ && confirmed_ && planned_->number <= confirmed_->number) planned_.reset();
}

void ExportPlanner::onConfirmed(const BatchPlan& batch) {
  if (!confirmed_ || batch.number > confirmed_->number) confirmed_ = batch;
  if (planned_ && planned_->number <= batch.number) planned_.reset();
}

ExportPlanner::Step ExportPlanner::next(std::uint64_t durable, std::uint64_t maxRecords,
                                        const Watermark& collector, std::uint64_t epoch) const {
  if (collector.epoch > epoch) return {Action::fenced, {}, "a newer exporter has begun"};
  std::uint64_t confirmed = confirmed_ ? confirmed_->number : 0;
  if (collector.number == confirmed) return nextBatch(durable, maxRecords, collector);
  if (collector.number > confirmed) return judgeUnconfirmed(collector);
  // A collector that was restored from an old copy lacks what it once confirmed. What isn't sent
  // again is never billed.
  BatchPlan again;
  again.number = collector.number + 1;
  again.first = collector.last + 1;
  return {Action::rewind, again, "the collector is behind what it has confirmed"};
}

// The collector holds just what it has confirmed.
ExportPlanner::Step ExportPlanner::nextBatch(std::uint64_t durable, std::uint64_t maxRecords,
                                             const Watermark& collector) const {
  if (confirmed_ && !hasSameContent(collector, *confirmed_))
    return {Action::conflict, *confirmed_, "the same batch with another content"};
  if (planned_) return {Action::send, *planned_, ""};
  std::uint64_t first = lastConfirmedRecord() + 1;
  if (durable < first) return {};
  BatchPlan plan;
  plan.number = confirmed_ ? confirmed_->number + 1 : 1;
  plan.first = first;
  plan.last = std::min(durable, first + maxRecords - 1);
  return {Action::plan, plan, ""};
}

// The collector holds more than it has confirmed here: its confirmation got lost, if what it holds
// is what was planned.
ExportPlanner::Step ExportPlanner::judgeUnconfirmed(const Watermark& collector) const {
  if (!planned_ || collector.number != planned_->number)
    return {Action::conflict,
            {},
            "the collector has batches that this ledger never planned: restored from an old copy?"};
  if (!hasSameContent(collector, *planned_))
    return {Action::conflict, *planned_, "the planned batch stands there with another content"};
  return {Action::confirm, *planned_, ""};
}

BatchVerdict judgeBatch(const Watermark& held, std::uint64_t epoch, const BatchPlan& batch) {
  if (epoch < held.epoch) return BatchVerdict::fenced;
  if (batch.number == held.number)
    return hasSameContent(held, batch) ? BatchVerdict::duplicate : BatchVerdict::conflicting;
  bool isOldOne = batch.number < held.number;
  if (isOldOne) return BatchVerdict::duplicate;
  if (batch.number > held.number + 1 || batch.first != held.last + 1) return BatchVerdict::gap;
  return BatchVerdict::accepted;
}

}  // namespace reedchute::ledger

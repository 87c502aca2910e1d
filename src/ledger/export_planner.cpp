#include "ledger/export_planner.h"

#include <algorithm>
#include <utility>

namespace reedchute::ledger {
namespace {

bool hasSameContent(const Watermark& watermark, const BatchPlan& batch) {
  return watermark.last == batch.last && watermark.digest == batch.digest;
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
  if (collector.epoch > epoch) return {Action::fenced, {}, "a newer exporter has taken over"};
  std::uint64_t confirmed = confirmed_ ? confirmed_->number : 0;
  if (collector.number == confirmed) return nextBatch(durable, maxRecords, collector);
  if (collector.number > confirmed) return resolveUnconfirmed(collector);
  // A collector that was restored from an old backup lacks batches that it once confirmed. They are
  // sent again, since they would never be billed otherwise.
  BatchPlan batch;
  batch.number = collector.number + 1;
  batch.first = collector.last + 1;
  return {Action::rewind, batch, "the collector is behind what it has confirmed"};
}

// Handles a collector that holds exactly the batches that it has confirmed.
ExportPlanner::Step ExportPlanner::nextBatch(std::uint64_t durable, std::uint64_t maxRecords,
                                             const Watermark& collector) const {
  if (confirmed_ && !hasSameContent(collector, *confirmed_))
    return {Action::conflict, *confirmed_,
            "the collector holds the confirmed batch with different content"};
  if (planned_) return {Action::send, *planned_, ""};
  std::uint64_t first = lastConfirmedRecord() + 1;
  if (durable < first) return {};
  BatchPlan plan;
  plan.number = confirmed_ ? confirmed_->number + 1 : 1;
  plan.first = first;
  plan.last = std::min(durable, first + maxRecords - 1);
  return {Action::plan, plan, ""};
}

// Handles a collector that holds a batch whose confirmation wasn't received here. If that is the
// planned batch, only the confirmation was lost; anything else is a conflict.
ExportPlanner::Step ExportPlanner::resolveUnconfirmed(const Watermark& collector) const {
  if (!planned_ || collector.number != planned_->number)
    return {Action::conflict,
            {},
            "the collector has batches that this ledger never planned: was it restored from an old "
            "backup?"};
  if (!hasSameContent(collector, *planned_))
    return {Action::conflict, *planned_,
            "the collector holds the planned batch with different content"};
  return {Action::confirm, *planned_, ""};
}

BatchVerdict classifyBatch(const Watermark& watermark, std::uint64_t epoch,
                           const BatchPlan& batch) {
  if (epoch < watermark.epoch) return BatchVerdict::fenced;
  if (batch.number == watermark.number)
    return hasSameContent(watermark, batch) ? BatchVerdict::duplicate : BatchVerdict::conflicting;
  bool isOlder = batch.number < watermark.number;
  if (isOlder) return BatchVerdict::duplicate;
  if (batch.number > watermark.number + 1 || batch.first != watermark.last + 1)
    return BatchVerdict::gap;
  return BatchVerdict::accepted;
}

}  // namespace reedchute::ledger

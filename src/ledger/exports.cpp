#include "ledger/exports.h"

#include <algorithm>

namespace reedchute::ledger {

void Exports::resume(std::optional<BatchPlan> confirmed, std::optional<BatchPlan> planned) {
  confirmed_ = std::move(confirmed);
  planned_ = std::move(planned);
  if (planned_ && confirmed_ && planned_->number <= confirmed_->number) planned_.reset();
}

void Exports::confirmed(const BatchPlan& b) {
  if (!confirmed_ || b.number > confirmed_->number) confirmed_ = b;
  if (planned_ && planned_->number <= b.number) planned_.reset();
}

Exports::Step Exports::next(std::uint64_t durable, std::uint64_t mostRecords, const Watermark& at,
                            std::uint64_t epoch) const {
  std::uint64_t number = confirmed_ ? confirmed_->number : 0;
  if (at.epoch > epoch) return {Do::fenced, {}, "a newer exporter has begun"};
  if (at.number < number) {
    // Danger: a collector that was restored from an old copy lacks what it once confirmed; unsent,
    // it is never billed.
    BatchPlan again;
    again.number = at.number + 1;
    again.first = at.last + 1;
    return {Do::rewind, again, "the collector is behind what it has confirmed"};
  }
  if (at.number == number) {
    if (confirmed_ && (at.last != confirmed_->last || at.digest != confirmed_->digest))
      return {Do::conflict, *confirmed_, "the same batch with another content"};
    if (planned_) return {Do::send, *planned_, ""};
    std::uint64_t first = confirmedTo() + 1;
    if (durable < first) return {};
    BatchPlan plan;
    plan.number = number + 1;
    plan.first = first;
    plan.last = std::min(durable, first + mostRecords - 1);
    return {Do::plan, plan, ""};
  }
  // It is ahead. Its confirmation got lost where it has just what was planned here.
  if (planned_ && at.number == planned_->number) {
    if (at.last == planned_->last && at.digest == planned_->digest)
      return {Do::confirm, *planned_, ""};
    return {Do::conflict, *planned_, "the planned batch stands there with another content"};
  }
  return {Do::conflict,
          {},
          "the collector has batches that this ledger never planned: restored from an old copy?"};
}

Taking takes(const Watermark& at, std::uint64_t epoch, const BatchPlan& b) {
  if (epoch < at.epoch) return Taking::fenced;
  if (b.number == at.number)
    return b.digest == at.digest && b.last == at.last ? Taking::repeated : Taking::differs;
  if (b.number < at.number) return Taking::repeated;  // an old one, sent late
  if (b.number > at.number + 1 || b.first != at.last + 1) return Taking::gap;
  return Taking::taken;
}

}  // namespace reedchute::ledger

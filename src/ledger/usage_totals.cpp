#include "ledger/usage_totals.h"

#include "ledger/billed_keys.h"

namespace reedchute::ledger {
namespace {

Usage usageOf(const wire::Use& use) {
  auto outcome = static_cast<Outcome>(use.outcome());
  Usage usage;
  if (use.billed()) {
    usage.statements = 1;
    usage.bytesIn = static_cast<std::int64_t>(use.bytes_in());
    usage.bytesOut = static_cast<std::int64_t>(use.bytes_out());
  }
  usage.retries = outcome == Outcome::completed && !use.billed();
  usage.rejected = outcome == Outcome::rejected;
  usage.aborted = outcome == Outcome::aborted;
  usage.attempts = use.attempts();
  return usage;
}

Usage usageOf(const wire::Correction& correction) {
  Usage usage;
  usage.statements = correction.statements();
  usage.bytesIn = correction.bytes_in();
  usage.bytesOut = correction.bytes_out();
  usage.corrections = 1;
  return usage;
}

}  // namespace

Usage& Usage::operator+=(const Usage& other) {
  statements += other.statements;
  bytesIn += other.bytesIn;
  bytesOut += other.bytesOut;
  attempts += other.attempts;
  retries += other.retries;
  rejected += other.rejected;
  aborted += other.aborted;
  corrections += other.corrections;
  return *this;
}

void UsageTotals::add(const wire::Record& record) {
  Period period{record.period_s()};
  if (record.has_use()) {
    totals_[{period, record.use().tenant()}] += usageOf(record.use());
    return;
  }
  if (!record.has_correction()) return;
  const wire::Correction& correction = record.correction();
  bool isFirst = corrections_.insert(correction.id()).second;
  if (isFirst) totals_[{period, correction.tenant()}] += usageOf(correction);
}

Usage UsageTotals::of(Period period, const std::string& tenant) const {
  auto found = totals_.find({period, tenant});
  return found == totals_.end() ? Usage{} : found->second;
}

}  // namespace reedchute::ledger

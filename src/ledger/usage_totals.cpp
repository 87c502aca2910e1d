#include "ledger/usage_totals.h"

#include "ledger/billed_keys.h"

namespace reedchute::ledger {

Used& Used::operator+=(const Used& o) {
  statements += o.statements, bytesIn += o.bytesIn, bytesOut += o.bytesOut,
      executions += o.executions;
  repeats += o.repeats, rejected += o.rejected, aborted += o.aborted, corrections += o.corrections;
  return *this;
}

void UsageTotals::add(const wire::Record& r) {
  Used u;
  std::string tenant;
  if (r.has_use()) {
    const wire::Use& use = r.use();
    tenant = use.tenant();
    auto outcome = static_cast<Outcome>(use.outcome());
    if (use.billed())
      u.statements = 1, u.bytesIn = static_cast<std::int64_t>(use.bytes_in()),
      u.bytesOut = static_cast<std::int64_t>(use.bytes_out());
    u.repeats = outcome == Outcome::completed && !use.billed();
    u.rejected = outcome == Outcome::rejected;
    u.aborted = outcome == Outcome::aborted;
    u.executions = use.executions();
  } else if (r.has_correction()) {
    const wire::Correction& c = r.correction();
    if (!corrections_.insert(c.id()).second) return;
    tenant = c.tenant();
    u.statements = c.statements(), u.bytesIn = c.bytes_in(), u.bytesOut = c.bytes_out(),
    u.corrections = 1;
  } else {
    return;
  }
  all_[{Period{r.period_s()}, tenant}] += u;
}

Used UsageTotals::of(Period p, const std::string& tenant) const {
  auto it = all_.find({p, tenant});
  return it == all_.end() ? Used{} : it->second;
}

}  // namespace reedchute::ledger

// Sums the log's records by billing period and tenant. Performs no I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "ledger/billing_periods.h"
#include "ledger/ledger.pb.h"

namespace reedchute::ledger {

struct Usage {
  // Billed amounts, including corrections.
  std::int64_t statements = 0;
  std::int64_t bytesIn = 0;
  std::int64_t bytesOut = 0;
  // Not billed: counts.
  std::int64_t attempts = 0;
  std::int64_t retries = 0;
  std::int64_t rejected = 0;
  std::int64_t aborted = 0;
  std::int64_t corrections = 0;

  auto operator<=>(const Usage&) const = default;
  Usage& operator+=(const Usage& other);
};

class UsageTotals {
 public:
  using Key = std::pair<Period, std::string>;  // period and tenant

  // A correction whose id was added before is ignored.
  void add(const wire::Record& record);
  const std::map<Key, Usage>& all() const { return totals_; }
  Usage of(Period period, const std::string& tenant) const;
  bool hasCorrection(const std::string& id) const { return corrections_.contains(id); }

 private:
  std::map<Key, Usage> totals_;
  std::set<std::string> corrections_;  // ids
};

}  // namespace reedchute::ledger

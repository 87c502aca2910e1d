// What was used, by period and tenant, as the log's records add up. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "ledger/ledger.pb.h"
#include "ledger/periods.h"

namespace reedchute::ledger {

struct Used {
  std::int64_t statements = 0, bytesIn = 0, bytesOut = 0;  // billed, corrections included
  std::int64_t executions = 0;
  std::int64_t repeats = 0, rejected = 0, aborted = 0;  // not billed
  std::int64_t corrections = 0;                         // how many
  auto operator<=>(const Used&) const = default;
  Used& operator+=(const Used& o);
};

class UsageTotals {
 public:
  // Adds a record; a correction whose id was seen adds nothing.
  void add(const wire::Record& r);
  const std::map<std::pair<Period, std::string>, Used>& all() const { return all_; }
  Used of(Period p, const std::string& tenant) const;
  bool corrected(const std::string& id) const { return corrections_.contains(id); }

 private:
  std::map<std::pair<Period, std::string>, Used> all_;
  std::set<std::string> corrections_;
};

}  // namespace reedchute::ledger

// Brings together the ledgers of instances that share nothing, and decides what has to be put
// right. No I/O.
//
// Told every record of each ledger that is at hand, in any order and as often as one likes, it says
// what the totals are, what can't be believed, and which corrections are missing. A correction's id
// follows from what it is about, so running it again, or elsewhere, or on more ledgers, asks for
// none twice.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "ledger/usage_totals.h"

namespace reedchute::ledger {

class Reconciliation {
 public:
  // A ledger is known by its birth, whatever instance it says it is of.
  void add(const std::string& birth, const std::string& instance, const wire::Record& r);

  struct Trouble {
    enum class What { gap, overlap, twoNames, clockJumped, entriesLost };
    What what;
    std::string birth;
    std::uint64_t first = 0, last = 0;  // records, or how many
    std::string text;
    auto operator<=>(const Trouble&) const = default;
  };
  std::vector<Trouble> troubles() const;

  // What was billed at two fronts under one mark, within its window: the later one is taken back.
  struct Missing {
    wire::Correction correction;
    Period period;
    std::string birth;  // of the ledger that it belongs into
  };
  std::vector<Missing> missing() const;

  // Over all ledgers, each record once, corrections of any ledger once, and with what is missing if
  // `corrected`.
  UsageTotals totals(bool corrected) const;

 private:
  struct Ledger {
    std::set<std::string> names;
    std::map<std::uint64_t, std::string> records;  // by sequence number, as they were written
    std::set<std::uint64_t> twice;                 // numbers that came with two contents
  };
  std::map<std::string, Ledger> ledgers_;  // by birth
};

const char* nameOf(Reconciliation::Trouble::What w);

}  // namespace reedchute::ledger

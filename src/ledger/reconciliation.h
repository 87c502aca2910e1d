// Merges the ledgers of proxies that share no state, and determines the necessary corrections.
// Performs no I/O.
//
// Records may be added in any order and repeatedly. From them it computes the totals, the problems
// of the ledgers, and the missing corrections. A correction's id is derived from the corrected
// entry, so running the reconciliation again, elsewhere or on more ledgers requests no correction
// twice.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "ledger/usage_totals.h"

namespace reedchute::ledger {

class Reconciliation {
 public:
  // A defect of a ledger, or an event that may affect its totals.
  struct Problem {
    enum class Kind { gap, overlap, multipleInstances, clockJumped, entriesLost };
    Kind kind;
    std::string birth;        // of the ledger
    std::uint64_t first = 0;  // sequence number
    std::uint64_t last = 0;   // sequence number; for `entriesLost` the number of lost entries
    std::string text;
    auto operator<=>(const Problem&) const = default;
  };

  // A correction that isn't in any ledger yet. If two proxies billed statements under one
  // idempotency key within its window, the later one is reversed.
  struct MissingCorrection {
    wire::Correction correction;
    Period period;
    std::string birth;  // of the ledger to write it to
  };

  // Adds a record. Ledgers are identified by `birth`; two instance names under one birth are a
  // problem.
  void add(const std::string& birth, const std::string& instance, const wire::Record& record);

  std::vector<Problem> problems() const;
  std::vector<MissingCorrection> missingCorrections() const;
  // The totals over all ledgers, with each record and each correction counted once. With
  // `corrected` they include the missing corrections.
  UsageTotals totals(bool corrected) const;

 private:
  struct Ledger {
    std::set<std::string> instances;
    std::map<std::uint64_t, std::string> records;  // serialized, by sequence number
    std::set<std::uint64_t> overlaps;              // sequence numbers with two contents
  };
  // A billed statement with an idempotency key.
  struct BilledEntry {
    std::uint64_t key = 0;
    std::int64_t atUs = 0;
    std::string birth;
    std::uint64_t seq = 0;
    wire::Record record;

    std::string name() const { return birth + ":" + std::to_string(seq); }
    std::int64_t windowEndUs() const;
  };
  // The ids of the existing corrections of one entry.
  struct CorrectionIds {
    std::set<std::string> reversals;
    std::set<std::string> restorations;
  };

  template <typename Handler>
  void forEachRecord(Handler&& handler) const;
  static void findProblems(const std::string& birth, const Ledger& ledger,
                           std::vector<Problem>& problems);
  // Sorted, so that the order doesn't depend on how the records were added.
  std::vector<BilledEntry> billedEntries() const;
  std::map<std::string, CorrectionIds> knownCorrections() const;
  static MissingCorrection correctionOf(const BilledEntry& entry, const BilledEntry* original,
                                        std::size_t number);

  std::map<std::string, Ledger> ledgers_;  // by birth
};

const char* nameOf(Reconciliation::Problem::Kind kind);

}  // namespace reedchute::ledger

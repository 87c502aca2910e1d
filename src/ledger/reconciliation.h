// Brings together the ledgers of proxies that share nothing, and decides what has to be corrected.
// No I/O.
//
// Given the records of each ledger, in any order and as often as one likes, it says what the totals
// are, what is wrong with the ledgers, and which corrections are missing. A correction's id follows
// from what it is about, so running it again, or elsewhere, or on more ledgers, asks for none
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
  struct Problem {
    enum class What { gap, overlap, twoNames, clockJumped, entriesLost };
    What what;
    std::string birth;  // of the ledger
    std::uint64_t first = 0;
    std::uint64_t last = 0;  // record, or how many entries
    std::string text;
    auto operator<=>(const Problem&) const = default;
  };

  // What was billed by two proxies under one idempotency key, within its window: the later one is
  // taken back.
  struct MissingCorrection {
    wire::Correction correction;
    Period period;
    std::string birth;  // of the ledger that it belongs into
  };

  // A ledger is identified by its birth, whatever instance it names.
  void add(const std::string& birth, const std::string& instance, const wire::Record& record);

  std::vector<Problem> problems() const;
  std::vector<MissingCorrection> missingCorrections() const;
  // Over all ledgers, each record and each correction once. With `corrected` the missing
  // corrections count, too.
  UsageTotals totals(bool corrected) const;

 private:
  struct Ledger {
    std::set<std::string> instances;
    std::map<std::uint64_t, std::string> records;  // by sequence number, as they were written
    std::set<std::uint64_t> overlaps;              // numbers with two contents
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
  // The ids of the corrections about one entry.
  struct CorrectionIds {
    std::set<std::string> takenBack;
    std::set<std::string> restored;
  };

  template <typename Handler>
  void forEachRecord(Handler&& handler) const;
  static void findProblems(const std::string& birth, const Ledger& ledger,
                           std::vector<Problem>& problems);
  // In an order that doesn't depend on how the records were added.
  std::vector<BilledEntry> billedEntries() const;
  std::map<std::string, CorrectionIds> knownCorrections() const;
  static MissingCorrection correctionOf(const BilledEntry& entry, const BilledEntry* original,
                                        std::size_t number);

  std::map<std::string, Ledger> ledgers_;  // by birth
};

const char* nameOf(Reconciliation::Problem::What what);

}  // namespace reedchute::ledger

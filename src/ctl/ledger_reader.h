// Reads a ledger's folder without changing it, and prints its totals and findings.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "ledger/log.h"
#include "ledger/usage_totals.h"

namespace reedchute::ctl {

// A ledger's identity and the defects found in it.
struct LedgerSummary {
  std::string birth;
  std::string instance;
  std::vector<ledger::Finding> findings;
  std::uint64_t records = 0;

  bool isSound() const { return findings.empty(); }
};

// Reads and checks the whole log, and calls `onRecord` for each readable record. Logs the progress.
// Throws ledger::DiskError.
LedgerSummary readLedger(const std::string& folder, const std::string& key,
                         const ledger::RecordHandler& onRecord);

// Writes the findings to the log.
void logFindings(const std::string& folder, const LedgerSummary& summary);

enum class Format { csv, json };
// Prints the totals to standard output.
void printTotals(const ledger::UsageTotals& totals, Format format);

// The beginning of a period in UTC, in the form 2026-12-01T00:00Z.
std::string periodText(ledger::Period period);
// The inverse of periodText(). Throws InvalidInput.
ledger::Period parsePeriod(const std::string& text);

// The text as a CSV cell, quoted if necessary.
std::string csvCell(const std::string& text);

nlohmann::json toJson(const ledger::Finding& finding);

}  // namespace reedchute::ctl

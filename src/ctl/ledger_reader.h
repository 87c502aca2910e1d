// Reads a ledger's folder without changing it, and prints what is found.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "ledger/log.h"
#include "ledger/usage_totals.h"

namespace reedchute::ctl {

// A ledger's identity, and what is wrong with it.
struct LedgerSummary {
  std::string birth;
  std::string instance;
  std::vector<ledger::Finding> findings;
  std::uint64_t records = 0;

  bool isSound() const { return findings.empty(); }
};

// Throws ledger::DiskError. Logs the progress.
LedgerSummary readLedger(const std::string& folder, const std::string& key,
                         const ledger::RecordHandler& onRecord);

// To the log.
void logFindings(const std::string& folder, const LedgerSummary& summary);

// To standard output, as CSV or JSON.
enum class Format { csv, json };
void printTotals(const ledger::UsageTotals& totals, Format format);

// The beginning of a period as operators write it: 2026-12-01T00:00Z.
std::string periodText(ledger::Period period);
// Throws InvalidInput.
ledger::Period parsePeriod(const std::string& text);

// A CSV cell, in quotes where it needs them.
std::string csvCell(const std::string& text);

nlohmann::json toJson(const ledger::Finding& finding);

}  // namespace reedchute::ctl

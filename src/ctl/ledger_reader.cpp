#include "ctl/ledger_reader.h"

#include <spdlog/spdlog.h>

#include <cstdio>
#include <ctime>
#include <memory>

#include "config/hcl_settings.h"

namespace reedchute::ctl {
namespace {

constexpr std::uint64_t kRecordsPerProgressLine = 1'000'000;
constexpr const char* kPeriodFormat = "%Y-%m-%dT%H:%MZ";

using json_t = nlohmann::json;

void printTotalsCsv(const ledger::UsageTotals& totals) {
  std::printf(
      "period,tenant,statements,bytes_in,bytes_out,executions,repeats,rejected,aborted,"
      "corrections\n");
  for (const auto& [key, usage] : totals.all()) {
    const auto& [period, tenant] = key;
    std::printf("%s,%s,%lld,%lld,%lld,%lld,%lld,%lld,%lld,%lld\n", periodText(period).c_str(),
                csvCell(tenant).c_str(), static_cast<long long>(usage.statements),
                static_cast<long long>(usage.bytesIn), static_cast<long long>(usage.bytesOut),
                static_cast<long long>(usage.attempts), static_cast<long long>(usage.retries),
                static_cast<long long>(usage.rejected), static_cast<long long>(usage.aborted),
                static_cast<long long>(usage.corrections));
  }
}

void printTotalsJson(const ledger::UsageTotals& totals) {
  json_t rows = json_t::array();
  for (const auto& [key, usage] : totals.all()) {
    const auto& [period, tenant] = key;
    rows.push_back({{"period", periodText(period)},
                    {"tenant", tenant},
                    {"statements", usage.statements},
                    {"bytes_in", usage.bytesIn},
                    {"bytes_out", usage.bytesOut},
                    {"executions", usage.attempts},
                    {"repeats", usage.retries},
                    {"rejected", usage.rejected},
                    {"aborted", usage.aborted},
                    {"corrections", usage.corrections}});
  }
  std::printf("%s\n", rows.dump(1).c_str());
}

}  // namespace

LedgerSummary readLedger(const std::string& folder, const std::string& key,
                         const ledger::RecordHandler& onRecord) {
  std::unique_ptr<ledger::Files> files = ledger::openFolderReadOnly(folder);
  ledger::Log log(*files, {key});
  LedgerSummary summary;
  summary.findings = log.verify([&](const ledger::wire::Record& record) {
    ++summary.records;
    if (summary.records % kRecordsPerProgressLine == 0)
      spdlog::info("folder={} records={}", folder, summary.records);
    if (record.has_opened()) {
      summary.birth = record.opened().birth();
      summary.instance = record.opened().instance();
    }
    onRecord(record);
  });
  return summary;
}

void logFindings(const std::string& folder, const LedgerSummary& summary) {
  for (const ledger::Finding& finding : summary.findings)
    spdlog::error("folder={} what=\"{}\" segment={} byte={} record={}", folder,
                  ledger::nameOf(finding.kind), finding.segment, finding.at, finding.seq);
}

void printTotals(const ledger::UsageTotals& totals, Format format) {
  if (format == Format::json)
    printTotalsJson(totals);
  else
    printTotalsCsv(totals);
}

std::string periodText(ledger::Period period) {
  auto seconds = static_cast<std::time_t>(period.beginsS);
  std::tm time{};
  gmtime_r(&seconds, &time);
  char text[32];
  std::strftime(text, sizeof text, kPeriodFormat, &time);
  return text;
}

ledger::Period parsePeriod(const std::string& text) {
  std::tm time{};
  const char* end = strptime(text.c_str(), kPeriodFormat, &time);
  if (!end || *end)
    throw InvalidInput("--period must have the form that `ledger show` prints: 2026-12-01T00:00Z");
  return {timegm(&time)};
}

std::string csvCell(const std::string& text) {
  if (text.find_first_of(",\"\n") == std::string::npos) return text;
  std::string quoted = "\"";
  for (char ch : text) quoted += ch == '"' ? "\"\"" : std::string(1, ch);
  return quoted + "\"";
}

json_t toJson(const ledger::Finding& finding) {
  return {{"what", ledger::nameOf(finding.kind)},
          {"segment", finding.segment},
          {"byte", finding.at},
          {"record", finding.seq}};
}

}  // namespace reedchute::ctl

#include "ctl/commands.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <utility>

#include "config/hcl_settings.h"
#include "ledger/ledger_writer.h"
#include "ledger/reconciliation.h"
#include "ledger/settings.h"
#include "protocols/cassandra/settings.h"

namespace reedchute::ctl {
namespace {

namespace wire = ledger::wire;
using json_t = nlohmann::json;
using FolderByBirth = std::map<std::string, std::string>;

constexpr const char* kExportColumns[] = {
    "seq",    "at_us",    "period",    "tenant",     "workload", "group", "outcome",
    "billed", "bytes_in", "bytes_out", "executions", "corrects", "reason"};

TimePoint wallNow() {
  return TimePoint{std::chrono::duration_cast<std::chrono::microseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count()};
}

ledger::LedgerWriter::Options writerOptions(const std::string& key, const std::string& signingKey) {
  ledger::LedgerWriter::Options options;
  options.log.key = key;
  options.correctionKey = signingKey;
  return options;
}

ExitCode exitCodeFor(const LedgerSummary& summary) {
  return summary.isSound() ? done : unsound;
}

// ---- verify ----

void printSummary(const LedgerSummary& summary) {
  std::printf("%s: %llu records, %s\n", summary.instance.c_str(),
              static_cast<unsigned long long>(summary.records),
              summary.isSound() ? "all sound" : "not sound");
  for (const ledger::Finding& finding : summary.findings)
    std::printf("  %s in %s at byte %zu, record %llu\n", ledger::nameOf(finding.kind),
                finding.segment.c_str(), finding.at, static_cast<unsigned long long>(finding.seq));
}

void printSummaryJson(const LedgerSummary& summary) {
  json_t findings = json_t::array();
  for (const ledger::Finding& finding : summary.findings) findings.push_back(toJson(finding));
  json_t result = {{"instance", summary.instance},
                   {"birth", summary.birth},
                   {"records", summary.records},
                   {"findings", findings}};
  std::printf("%s\n", result.dump(1).c_str());
}

// ---- export ----

json_t exportRow(const wire::Record& record) {
  const wire::Use& use = record.use();
  const wire::Correction& correction = record.correction();
  bool isUse = record.has_use();
  return {
      {"seq", record.seq()},
      {"at_us", record.at_us()},
      {"period", periodText(ledger::Period{record.period_s()})},
      {"tenant", isUse ? use.tenant() : correction.tenant()},
      {"workload", use.workload()},
      {"group", use.group()},
      {"outcome", isUse ? use.outcome() : 0},
      {"billed", isUse ? static_cast<std::int64_t>(use.billed()) : correction.statements()},
      {"bytes_in", isUse ? static_cast<std::int64_t>(use.bytes_in()) : correction.bytes_in()},
      {"bytes_out", isUse ? static_cast<std::int64_t>(use.bytes_out()) : correction.bytes_out()},
      {"executions", use.attempts()},
      {"corrects", correction.corrects()},
      {"reason", correction.reason()}};
}

void writeCsvHeader(std::ostream& out) {
  const char* separator = "";
  for (const char* column : kExportColumns) out << std::exchange(separator, ",") << column;
  out << "\n";
}

void writeCsvRow(std::ostream& out, const json_t& row) {
  const char* separator = "";
  for (const char* column : kExportColumns) {
    const json_t& cell = row[column];
    out << std::exchange(separator, ",");
    out << (cell.is_string() ? csvCell(cell.get<std::string>()) : cell.dump());
  }
  out << "\n";
}

// ---- reconcile ----

struct ReconciliationInput {
  ledger::Reconciliation reconciliation;
  FolderByBirth folders;
  bool isSound = true;  // no ledger has a finding
};

void addLedger(const std::string& folder, const std::string& key, ReconciliationInput& input) {
  std::vector<wire::Record> records;
  LedgerSummary summary = readLedger(
      folder, key, [&](const wire::Record& record) { records.push_back(record); });
  logFindings(folder, summary);
  if (!summary.isSound()) input.isSound = false;
  for (const wire::Record& record : records)
    input.reconciliation.add(summary.birth, summary.instance, record);
  auto [known, isNew] = input.folders.try_emplace(summary.birth, folder);
  if (!isNew)
    spdlog::error("folder={} other={} what=\"two folders contain the same ledger\" birth={}",
                  folder, known->second, summary.birth);
}

void logProblems(const std::vector<ledger::Reconciliation::Problem>& problems) {
  for (const auto& problem : problems)
    spdlog::warn("what=\"{}\" ledger={} first={} last={} text=\"{}\"", ledger::nameOf(problem.kind),
                 problem.birth, problem.first, problem.last, problem.text);
}

void logMissing(const std::vector<ledger::Reconciliation::MissingCorrection>& corrections) {
  for (const auto& missing : corrections)
    spdlog::info("missing=\"{}\" tenant={} period={} reason=\"{}\"", missing.correction.id(),
                 missing.correction.tenant(), periodText(missing.period),
                 missing.correction.reason());
}

void writeMissing(const ledger::Reconciliation::MissingCorrection& missing,
                  const std::string& folder, const std::string& key,
                  const std::string& signingKeyFile) {
  std::string signingKey = readKeyFile(signingKeyFile);
  wire::Correction correction = missing.correction;
  correction.set_signature(
      ledger::LedgerWriter::signatureOf(correction, missing.period, signingKey));
  std::unique_ptr<ledger::Files> files = ledger::openFolder(folder);
  ledger::LedgerWriter writer(*files, writerOptions(key, signingKey));
  TimePoint now = wallNow();
  writer.open(now);
  if (writer.correct(correction, missing.period, now) != ledger::CorrectionResult::accepted)
    spdlog::error("refused=\"{}\"", correction.id());
  writer.sync();
}

// ---- correct ----

wire::Correction toCorrection(const CorrectionArguments& arguments) {
  wire::Correction correction;
  correction.set_id(arguments.id);
  correction.set_tenant(arguments.tenant);
  correction.set_statements(arguments.statements);
  correction.set_bytes_in(arguments.bytesIn);
  correction.set_bytes_out(arguments.bytesOut);
  correction.set_corrects(arguments.corrects);
  correction.set_reason(arguments.reason);
  correction.set_by(arguments.by);
  return correction;
}

const char* textOf(ledger::CorrectionResult result) {
  switch (result) {
    case ledger::CorrectionResult::accepted:
      return "taken";
    case ledger::CorrectionResult::duplicate:
      return "is there already";
    default:
      return "refused";
  }
}

}  // namespace

std::string readKeyFile(const std::string& path) {
  std::string key = ledger::keyInFile(path);
  if (key.empty()) throw InvalidInput(path + ": key file is empty or can't be read");
  return key;
}

ExitCode showLedger(const std::string& folder, const std::string& key, Format format) {
  ledger::UsageTotals totals;
  LedgerSummary summary = readLedger(folder, key,
                                     [&](const wire::Record& record) { totals.add(record); });
  logFindings(folder, summary);
  printTotals(totals, format);
  return exitCodeFor(summary);
}

ExitCode verifyLedger(const std::string& folder, const std::string& key, Format format) {
  LedgerSummary summary = readLedger(folder, key, [](const wire::Record&) {});
  if (format == Format::json)
    printSummaryJson(summary);
  else
    printSummary(summary);
  return exitCodeFor(summary);
}

ExitCode exportLedger(const std::string& folder, const std::string& key, const std::string& file,
                      Format format) {
  std::string partFile = file + ".part";
  std::ofstream out(partFile);
  if (format == Format::csv) writeCsvHeader(out);
  LedgerSummary summary = readLedger(folder, key, [&](const wire::Record& record) {
    if (!record.has_use() && !record.has_correction()) return;
    json_t row = exportRow(record);
    if (format == Format::json)
      out << row.dump() << "\n";
    else
      writeCsvRow(out, row);
  });
  logFindings(folder, summary);
  out.close();
  if (!out || std::rename(partFile.c_str(), file.c_str()) != 0) {
    spdlog::error("file={} what=\"can't be written\"", file);
    return failed;
  }
  return exitCodeFor(summary);
}

ExitCode reconcileLedgers(const std::vector<std::string>& folders, const std::string& key,
                          const std::string& signingKeyFile, Format format) {
  ReconciliationInput input;
  for (const std::string& folder : folders) addLedger(folder, key, input);
  auto problems = input.reconciliation.problems();
  auto corrections = input.reconciliation.missingCorrections();
  logProblems(problems);
  logMissing(corrections);
  if (!signingKeyFile.empty())
    for (const auto& missing : corrections)
      writeMissing(missing, input.folders.at(missing.birth), key, signingKeyFile);
  printTotals(input.reconciliation.totals(true), format);
  return input.isSound && problems.empty() ? done : unsound;
}

ExitCode correctLedger(const CorrectionArguments& arguments, const std::string& key,
                       const std::string& signingKeyFile) {
  std::unique_ptr<ledger::Files> files = ledger::openFolder(arguments.folder);
  std::string signingKey = readKeyFile(signingKeyFile);
  ledger::LedgerWriter writer(*files, writerOptions(key, signingKey));
  TimePoint now = wallNow();
  std::vector<ledger::Finding> findings = writer.open(now);
  if (!writer.isOpen()) {
    spdlog::error("folder={} what=\"{}\"", arguments.folder, ledger::nameOf(findings.front().kind));
    return unsound;
  }
  ledger::Period period = parsePeriod(arguments.period);
  wire::Correction correction = toCorrection(arguments);
  correction.set_signature(ledger::LedgerWriter::signatureOf(correction, period, signingKey));
  ledger::CorrectionResult result = writer.correct(correction, period, now);
  writer.sync();
  std::printf("%s\n", textOf(result));
  return result == ledger::CorrectionResult::refused ? unsound : done;
}

ExitCode checkSettings(const std::string& file) {
  config::Block block = config::readBlockFile(file);
  config::Section all(file, block);
  for (config::Section section : all.blocks("cassandra"))
    protocols::cassandra::parseConfig(std::move(section));
  for (config::Section section : all.blocks("ledger"))
    ledger::usageRecorderConfigFrom(std::move(section), "check");
  all.requireAllRead();
  std::printf("%s: sound\n", file.c_str());
  return done;
}

}  // namespace reedchute::ctl

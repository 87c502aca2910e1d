// Writes the ledger of one proxy: reads entries from the ring, decides which are billed, seals
// billing periods, and appends to the log. Its calls block on the disk, so they are made from one
// thread other than the proxy's. It has no thread or timer of its own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ledger/answered_statement.h"
#include "ledger/billed_keys.h"
#include "ledger/billing_periods.h"
#include "ledger/entry_ring.h"
#include "ledger/export_planner.h"
#include "ledger/log.h"
#include "ledger/usage_totals.h"

namespace reedchute::ledger {

enum class CorrectionResult { accepted, duplicate, refused };

class LedgerWriter {
 public:
  struct Options {
    std::string instance;
    std::string birth;  // random identifier, used if the ledger is new
    Log::Options log;
    PeriodLength periodLength = PeriodLength::month;
    Duration grace{60'000'000};           // between a period's end and its seal
    std::size_t maxBilledKeys = 1 << 20;  // held in memory
    std::string correctionKey;            // signs corrections; if empty, none is accepted
  };

  // `files` must outlive it.
  LedgerWriter(Files& files, Options options);

  // Reads the log and returns the findings. A torn tail is truncated and noted in the log; with any
  // other finding the ledger stays closed. Throws DiskError.
  std::vector<Finding> open(TimePoint now);
  bool isOpen() const { return log_.isOpen(); }
  const std::string& birth() const { return birth_; }
  // The index of the ring entry that follows the newest one in the log.
  std::uint64_t nextEntryIndex() const { return newestEntryIndex_ + 1; }
  TimePoint newestTime() const { return newestTime_; }
  std::optional<Period> lastSealed() const { return lastSealed_; }
  std::vector<Period> unsealed() const;

  // Writes the ring's entries to the log and releases them. `lost`: the total number of entries
  // that were not recorded since the process started. Throws DiskError; no entry is lost then, and
  // the call may be repeated.
  void drain(EntryRing& ring, std::uint64_t lost, TimePoint now);
  // Syncs all written records. Throws DiskError.
  void sync() { log_.sync(); }

  // Appends a signed correction. It is refused if a field is missing, the signature doesn't match,
  // or there is no correction key; a correction whose id is in the log already is a duplicate.
  // Throws DiskError.
  CorrectionResult correct(const wire::Correction& correction, Period period, TimePoint now);
  // The HMAC-SHA256 of the period and the correction without its signature.
  static std::string signatureOf(const wire::Correction& correction, Period period,
                                 const std::string& key);

  // For the exporter. The write functions sync the log and throw DiskError.
  ExportPlanner& exports() { return exports_; }
  void writePlanned(const BatchPlan& batch, TimePoint now);
  void writeConfirmed(const BatchPlan& batch, TimePoint now);
  std::uint64_t durable() const { return log_.durable(); }
  std::uint64_t written() const { return log_.written(); }

  const UsageTotals& totals() const { return totals_; }
  const BilledKeys& billedKeys() const { return billedKeys_; }

 private:
  void apply(const wire::Record& record);
  void countForSeal(const wire::Record& record, Period period);
  void applySeal(Period period);
  void applyBatch(const wire::Batch& batch);

  void append(wire::Record& record, TimePoint at, Period period);
  void appendNow(wire::Record& record, TimePoint now);
  void appendEntry(const EntryRing::Entry& entry);
  void appendLossNotice(std::uint64_t lost, TimePoint now);
  void appendOpenRecord(const std::vector<Finding>& findings, bool isNew, TimePoint now);
  void sealDuePeriods(TimePoint now);
  void writeBatch(const BatchPlan& batch, bool isConfirmed, TimePoint now);
  // The later of `now` and the newest record's time, as the ledger's time never decreases.
  TimePoint monotonicTime(TimePoint now) const;

  Options options_;
  Log log_;
  BilledKeys billedKeys_;
  UsageTotals totals_;
  ExportPlanner exports_;
  BillingPeriods periods_;
  std::string birth_;
  std::uint64_t newestEntryIndex_ = 0;  // index of the newest ring entry in the log
  std::uint64_t lastReadIndex_ = 0;     // of the ring entry that was read last
  std::uint64_t recordedLost_ = 0;      // lost entries that are noted in the log
  TimePoint newestTime_ = kNever;
  std::optional<Period> lastSealed_;
  std::map<Period, wire::Seal> unsealed_;  // the content of their future seals
  std::optional<BatchPlan> confirmed_;
  std::optional<BatchPlan> planned_;
};

}  // namespace reedchute::ledger

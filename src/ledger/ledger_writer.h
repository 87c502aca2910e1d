// The ledger of one proxy: takes entries from the ring, decides which are billed, seals periods,
// and writes the log. It calls the disk, so it runs beside the proxy's thread, on one thread of its
// own; its caller says when it does what.
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
    std::string birth;  // random, for a ledger that begins
    Log::Options log;
    PeriodLength periodLength = PeriodLength::month;
    Duration grace{60'000'000};           // between a period's end and its seal
    std::size_t maxBilledKeys = 1 << 20;  // remembered at once
    std::string correctionKey;            // that signs corrections; empty: none are accepted
  };

  LedgerWriter(Files& files, Options options);

  // Reads the log. With any finding but a torn tail, which is cut off and noted in the log, the
  // ledger stays closed. Returns the findings.
  std::vector<Finding> open(TimePoint now);
  bool isOpen() const { return log_.isOpen(); }
  const std::string& birth() const { return birth_; }
  // Where the ring beside this log goes on.
  std::uint64_t nextPlace() const { return newestPlace_ + 1; }
  TimePoint newestTime() const { return newestTime_; }
  std::optional<Period> lastSealed() const { return lastSealed_; }
  std::vector<Period> unsealed() const;

  // Writes what the ring has, and releases it there. `lost`: entries that found no room in the
  // ring, in all. Throws DiskError: then nothing was lost, and it may be tried again.
  void drain(EntryRing& ring, std::uint64_t lost, TimePoint now);
  void sync() { log_.sync(); }

  CorrectionResult correct(const wire::Correction& correction, Period period, TimePoint now);
  static std::string signatureOf(const wire::Correction& correction, Period period,
                                 const std::string& key);

  // For whoever exports.
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
  void appendLost(std::uint64_t lost, TimePoint now);
  void appendOpening(const std::vector<Finding>& findings, bool isNew, TimePoint now);
  void sealDue(TimePoint now);
  void writeBatch(const BatchPlan& batch, bool isConfirmed, TimePoint now);
  // The ledger's time never goes back.
  TimePoint notBeforeNewest(TimePoint now) const;

  Options options_;
  Log log_;
  BilledKeys billedKeys_;
  UsageTotals totals_;
  ExportPlanner exports_;
  BillingPeriods periods_;
  std::string birth_;
  std::uint64_t newestPlace_ = 0;  // of the ring, in the log
  std::uint64_t readTo_ = 0;       // place
  std::uint64_t lost_ = 0;         // entries, as the log says
  TimePoint newestTime_ = kNever;
  std::optional<Period> lastSealed_;
  std::map<Period, wire::Seal> unsealed_;  // what their seals will say
  std::optional<BatchPlan> confirmed_;
  std::optional<BatchPlan> planned_;
};

}  // namespace reedchute::ledger

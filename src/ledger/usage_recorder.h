// Records the usage of a running proxy in its ledger. An entry is put into a ring before its
// statement is answered, and a separate thread, the ledger's thread, writes it to the disk. The
// proxy's thread calls acceptsStatements(), record() and state(); none of them blocks.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "config/engine_settings.h"
#include "ledger/ledger_writer.h"
#include "ledger/mapped_memory.h"
#include "request/usage_meter.h"

namespace reedchute::ledger {

struct UsageRecorderConfig {
  std::string folder;
  std::string instance;
  std::string key;            // of the log's MAC chain
  std::string correctionKey;  // signs corrections; may be empty
  PeriodLength periodLength = PeriodLength::month;
  std::size_t ringBytes = 4 << 20;
  Duration syncInterval{200'000};
  // If entries can't be recorded: true refuses statements, false serves them and counts their
  // entries as lost.
  bool refusesWhenBehind = false;
};

// The recorder's state, as it is written to the proxy's log.
struct UsageRecorderState {
  // `failing`: the last write failed and is retried. `closed`: the log can't be opened.
  enum class Phase { opening, open, closed, failing };
  Phase phase = Phase::opening;
  std::uint64_t written = 0;  // newest written record
  std::uint64_t durable = 0;  // newest synced record
  std::uint64_t lost = 0;     // entries that were not recorded
  std::uint64_t diskErrors = 0;
  std::uint64_t clockJumps = 0;
  std::size_t ringFree = 0;  // bytes
  std::string what;          // why it is closed
};

const char* nameOf(UsageRecorderState::Phase phase);

class UsageRecorder : public request::UsageMeter {
 public:
  // Creates the folder and the ring, and starts the thread. Throws DiskError.
  UsageRecorder(const UsageRecorderConfig& config, const Names& names,
                const EngineSettings& settings);
  // Writes and syncs the ring's entries, without a retry if the disk fails.
  ~UsageRecorder() override;

  bool acceptsStatements() const override;
  void record(const request::UsageRecord& usage) override;
  UsageRecorderState state() const;

 private:
  using Phase = UsageRecorderState::Phase;

  AnsweredStatement toEntry(const request::UsageRecord& usage);
  bool canRecord() const;

  // The ledger's thread.
  void run();
  bool openLedger();
  void writePending(bool isLast);
  void drainRing();
  void setPhase(Phase phase, const std::string& reason);

  UsageRecorderConfig config_;
  std::vector<std::string> workloads_;          // names, by the engine's workload numbers
  std::vector<Duration> deduplicationWindows_;  // by workload
  std::unique_ptr<Files> files_;
  MappedMemory ringMemory_;
  std::unique_ptr<LedgerWriter> writer_;
  std::unique_ptr<EntryRing> ring_;  // created by the ledger's thread before the phase is `open`
  BillingPeriods periods_;
  Duration lastSync_;  // steady clock; used by the ledger's thread only
  std::atomic<std::uint64_t> lost_{0};
  std::atomic<std::uint64_t> clockJumps_{0};
  std::atomic<std::uint64_t> written_{0};
  std::atomic<std::uint64_t> durable_{0};
  std::atomic<std::uint64_t> diskErrors_{0};
  std::atomic<Phase> phase_{Phase::opening};
  std::atomic<bool> isStopping_{false};
  std::string phaseReason_;  // written before `phase_`
  std::thread thread_;
};

}  // namespace reedchute::ledger

// The ledger beside a running proxy: an entry is put into a ring before its statement is answered,
// and a thread of the ledger's own writes it to the disk. The proxy's thread calls
// acceptsStatements(), record() and state(); none of them blocks.
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
  std::string key;            // of the log's chain
  std::string correctionKey;  // that signs corrections; may be empty
  PeriodLength periodLength = PeriodLength::month;
  std::size_t ringBytes = 4 << 20;
  Duration syncInterval{200'000};
  // Where an entry can't be recorded: statements are refused, or served and counted as lost.
  bool refusesWhenBehind = false;
};

// For the proxy's log.
struct UsageRecorderState {
  enum class Phase { opening, open, closed, failing };
  Phase phase = Phase::opening;
  std::uint64_t written = 0;
  std::uint64_t durable = 0;
  std::uint64_t lost = 0;
  std::uint64_t diskErrors = 0;
  std::uint64_t clockJumps = 0;
  std::size_t ringFree = 0;  // bytes
  std::string what;          // why it is closed
};

const char* nameOf(UsageRecorderState::Phase phase);

class UsageRecorder : public request::UsageMeter {
 public:
  // Makes the folder and the ring, and starts the thread; throws DiskError.
  UsageRecorder(const UsageRecorderConfig& config, const Names& names,
                const EngineSettings& settings);
  // Writes what is in the ring, as far as the disk takes it.
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
  void writeRound(bool isLast);
  void drainRing();
  void setPhase(Phase phase, const std::string& what);

  UsageRecorderConfig config_;
  std::vector<std::string> workloads_;          // names, by the engine's numbers
  std::vector<Duration> deduplicationWindows_;  // by workload
  std::unique_ptr<Files> files_;
  MappedMemory ringMemory_;
  std::unique_ptr<LedgerWriter> writer_;
  std::unique_ptr<EntryRing> ring_;  // made by the ledger's thread before the phase is `open`
  BillingPeriods periods_;
  Duration lastSync_;  // by the steady clock; the ledger's thread's own
  std::atomic<std::uint64_t> lost_{0};
  std::atomic<std::uint64_t> clockJumps_{0};
  std::atomic<std::uint64_t> written_{0};
  std::atomic<std::uint64_t> durable_{0};
  std::atomic<std::uint64_t> diskErrors_{0};
  std::atomic<Phase> phase_{Phase::opening};
  std::atomic<bool> isStopping_{false};
  std::string what_;  // written before `phase_` is
  std::thread thread_;
};

}  // namespace reedchute::ledger

// The ledger beside a running front: entries go into a ring before their statement's answer, and a
// thread of the ledger's own brings them to the disk. The front's thread makes no system call here
// and waits for nothing.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "config/engine_settings.h"
#include "ledger/ledger_writer.h"
#include "request/request.h"

namespace reedchute::ledger {

// What the ledger is told when it starts.
struct UsageRecorderConfig {
  std::string folder, instance;
  std::string key, correctionKey;
  Every every = Every::month;
  std::size_t ringBytes = 4 << 20;
  Duration sync{200'000};  // between two syncs
  bool refuse =
      false;  // where an entry can't be kept: refuse statements, or serve and count what is lost
};

// What is to be said in the front's log.
struct UsageRecorderState {
  enum class Is { opening, open, closed, failing } is = Is::opening;
  std::uint64_t written = 0, durable = 0, lost = 0, diskErrors = 0, jumps = 0;
  std::size_t ringFree = 0;
  std::string what;  // the first finding, or the disk's last word
};

const char* nameOf(UsageRecorderState::Is is);

class UsageRecorder : public request::UsageMeter {
 public:
  // Makes the folder and the ring; throws DiskError where they can't be had.
  UsageRecorder(const UsageRecorderConfig& given, const Names& names, const EngineSettings& terms);
  // Brings what is in the ring to the disk, as far as it takes it.
  ~UsageRecorder() override;

  bool admits() const override;
  void answered(const request::UsageRecord& m) override;
  UsageRecorderState state() const;

 private:
  struct Mapped;

  void run();
  void publish(UsageRecorderState::Is is, const std::string& what);

  UsageRecorderConfig given_;
  std::vector<std::string> workloads_;
  std::vector<Duration> windows_;
  std::unique_ptr<Files> files_;
  std::unique_ptr<Mapped> mapped_;
  std::unique_ptr<LedgerWriter> keeper_;
  std::unique_ptr<Ring> ring_;
  Periods periods_;
  std::atomic<std::uint64_t> lost_{0}, jumps_{0}, written_{0}, durable_{0}, diskErrors_{0};
  std::atomic<UsageRecorderState::Is> is_{UsageRecorderState::Is::opening};
  mutable std::atomic<bool> ends_{false};
  std::string what_;  // written before `is_` is, and not after
  std::thread thread_;
};

}  // namespace reedchute::ledger

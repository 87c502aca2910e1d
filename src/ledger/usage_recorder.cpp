#include "ledger/usage_recorder.h"

#include <chrono>
#include <cstdio>
#include <optional>
#include <random>

namespace reedchute::ledger {
namespace {

constexpr Duration kClockTolerance{2'000'000};  // between wall and steady clock, per reading
constexpr std::size_t kMinFreeBytes = 4096;     // in the ring, to accept a statement
constexpr std::chrono::milliseconds kWriteInterval{2};
constexpr std::chrono::milliseconds kDiskErrorRetryDelay{100};
constexpr int kBirthWords = 4;  // of 32 random bits

template <typename Clock>
std::int64_t microsecondsOf() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch())
      .count();
}

TimePoint wallNow() {
  return TimePoint{microsecondsOf<std::chrono::system_clock>()};
}

Duration steadyNow() {
  return Duration{microsecondsOf<std::chrono::steady_clock>()};
}

std::string randomBirth() {
  std::random_device device;
  std::string birth;
  for (int k = 0; k < kBirthWords; ++k) {
    char word[9];
    std::snprintf(word, sizeof word, "%08x", device());
    birth += word;
  }
  return birth;
}

Outcome outcomeOf(const request::UsageRecord& usage) {
  if (usage.completed) return Outcome::completed;
  return usage.rejected ? Outcome::rejected : Outcome::aborted;
}

bool isRecording(UsageRecorderState::Phase phase) {
  using Phase = UsageRecorderState::Phase;
  return phase == Phase::open || phase == Phase::failing;
}

std::string describe(const Finding& finding) {
  return std::string(nameOf(finding.kind)) + " in " + finding.segment + " at byte " +
         std::to_string(finding.at);
}

// The names of the workloads by number, followed by those of the template that each further number
// is an instance of; empty if it has none.
std::vector<std::string> workloadNames(const Names& names) {
  std::vector<std::string> workloads = names.workloads;
  for (int workload : names.templateOf)
    workloads.push_back(workload < 0 ? std::string()
                                     : names.workloads[static_cast<std::size_t>(workload)]);
  return workloads;
}

}  // namespace

const char* nameOf(UsageRecorderState::Phase phase) {
  static constexpr const char* kNames[] = {"opening", "open", "closed", "failing"};
  return kNames[static_cast<std::size_t>(phase)];
}

UsageRecorder::UsageRecorder(const UsageRecorderConfig& config, const Names& names,
                             const EngineSettings& settings)
    : config_(config),
      workloads_(workloadNames(names)),
      files_(openFolder(config.folder)),
      ringMemory_(config.folder + "/ring", config.ringBytes),
      periods_(config.periodLength, kClockTolerance, Duration{}) {
  for (const Workload& workload : settings.workloads)
    deduplicationWindows_.push_back(workload.deduplicationWindow);
  LedgerWriter::Options options;
  options.instance = config.instance;
  options.birth = randomBirth();
  options.log.key = config.key;
  options.periodLength = config.periodLength;
  options.correctionKey = config.correctionKey;
  writer_ = std::make_unique<LedgerWriter>(*files_, options);
  thread_ = std::thread([this] { run(); });
}

UsageRecorder::~UsageRecorder() {
  isStopping_ = true;
  thread_.join();
}

// ---- the ledger's thread ----

void UsageRecorder::setPhase(Phase phase, const std::string& reason) {
  if (phase_.load() == phase) return;
  phaseReason_ = reason;
  phase_.store(phase, std::memory_order_release);
}

void UsageRecorder::run() {
  if (!openLedger()) return;
  lastSync_ = steadyNow();
  // The last pass writes the entries of all statements answered before the stop. It doesn't retry
  // if the disk fails.
  for (bool isLast = false; !isLast;) {
    isLast = isStopping_;
    if (!isLast) std::this_thread::sleep_for(kWriteInterval);
    writePending(isLast);
  }
}

bool UsageRecorder::openLedger() {
  std::vector<Finding> findings;
  try {
    findings = writer_->open(wallNow());
  } catch (const DiskError& error) {
    setPhase(Phase::closed, error.what());
    return false;
  }
  if (!writer_->isOpen()) {
    setPhase(Phase::closed, describe(findings.front()));
    return false;
  }
  periods_.resume(writer_->newestTime(), writer_->unsealed());
  if (std::optional<Period> sealed = writer_->lastSealed()) periods_.onSealed(*sealed);
  ring_ = std::make_unique<EntryRing>(ringMemory_.bytes(), writer_->nextEntryIndex());
  // After a crash of the machine an entry may be incomplete; the entries after it can't be read
  // either.
  lost_ += ring_->dropUnreadable();
  setPhase(Phase::open, findings.empty() ? "" : "a torn tail was truncated");
  return true;
}

void UsageRecorder::writePending(bool isLast) {
  try {
    drainRing();
    if (isLast || steadyNow() - lastSync_ >= config_.syncInterval) {
      if (writer_->durable() < writer_->written()) writer_->sync();
      lastSync_ = steadyNow();
    }
    written_ = writer_->written();
    durable_ = writer_->durable();
    setPhase(Phase::open, "");
  } catch (const DiskError& error) {
    ++diskErrors_;
    setPhase(Phase::failing, error.what());
    if (!isLast) std::this_thread::sleep_for(kDiskErrorRetryDelay);
  }
}

// Drains the ring until it is empty or its next entry can't be read.
void UsageRecorder::drainRing() {
  for (;;) {
    std::uint64_t before = ring_->releasedIndex();
    writer_->drain(*ring_, lost_.load(), wallNow());
    std::uint64_t after = ring_->releasedIndex();
    if (ring_->newestIndex() <= after || after == before) return;
  }
}

// ---- the proxy's thread ----

bool UsageRecorder::canRecord() const {
  return isRecording(phase_.load(std::memory_order_acquire));
}

bool UsageRecorder::acceptsStatements() const {
  if (!config_.refusesWhenBehind) return true;
  return canRecord() && ring_->freeBytes() > kMinFreeBytes;
}

void UsageRecorder::record(const request::UsageRecord& usage) {
  if (!canRecord()) {
    ++lost_;
    return;
  }
  if (!ring_->put(encodeEntry(toEntry(usage)))) ++lost_;
}

AnsweredStatement UsageRecorder::toEntry(const request::UsageRecord& usage) {
  BillingPeriods::Moment now = periods_.now({wallNow(), steadyNow()});
  if (now.hasJumped) ++clockJumps_;
  auto workload = static_cast<std::size_t>(usage.workload);
  AnsweredStatement entry;
  entry.tenant = usage.tenant;
  if (workload < workloads_.size()) entry.workload = workloads_[workload];
  entry.group = usage.group;
  entry.outcome = outcomeOf(usage);
  entry.bytesIn = usage.bytesIn;
  entry.bytesOut = usage.bytesOut;
  entry.idempotencyKey = usage.idempotencyKey;
  entry.attempts = usage.attempts;
  entry.protocol = usage.protocol;
  if (workload < deduplicationWindows_.size())
    entry.deduplicationWindow = deduplicationWindows_[workload];
  entry.at = now.at;
  entry.period = now.period;
  return entry;
}

UsageRecorderState UsageRecorder::state() const {
  UsageRecorderState state;
  state.phase = phase_.load(std::memory_order_acquire);
  state.written = written_;
  state.durable = durable_;
  state.lost = lost_;
  state.diskErrors = diskErrors_;
  state.clockJumps = clockJumps_;
  if (isRecording(state.phase)) state.ringFree = ring_->freeBytes();
  if (state.phase == Phase::closed) state.what = phaseReason_;
  return state;
}

}  // namespace reedchute::ledger

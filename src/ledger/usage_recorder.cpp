#include "ledger/usage_recorder.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <random>

namespace reedchute::ledger {
namespace {

constexpr double kTolerance = 2.0;  // seconds by which the two clocks may differ at a look
constexpr std::size_t kLeastFree = 4096;

TimePoint wallClock() {
  return TimePoint{std::chrono::duration_cast<std::chrono::microseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count()};
}
Duration steady() {
  return Duration{std::chrono::duration_cast<std::chrono::microseconds>(
                      std::chrono::steady_clock::now().time_since_epoch())
                      .count()};
}

std::string birthNow() {
  std::random_device device;
  std::string text;
  for (int k = 0; k < 4; ++k) {
    char part[9];
    std::snprintf(part, sizeof part, "%08x", device());
    text += part;
  }
  return text;
}

}  // namespace

const char* nameOf(UsageRecorderState::Is is) {
  static constexpr const char* kNames[] = {"opening", "open", "closed", "failing"};
  return kNames[static_cast<std::size_t>(is)];
}

// The ring's memory: a file of the folder's, mapped, so that what is put there outlives the
// process.
struct UsageRecorder::Mapped {
  Mapped(const std::string& path, std::size_t size) : bytes(size) {
    int fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (fd < 0 || ftruncate(fd, static_cast<off_t>(size)) < 0) {
      if (fd >= 0) close(fd);
      throw DiskError(path + " can't be made");
    }
    // Danger: a page without a block behind it would end the process when the disk is full.
    int full = posix_fallocate(fd, 0, static_cast<off_t>(size));
    at = full ? MAP_FAILED
              : mmap(nullptr, size, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_POPULATE, fd, 0);
    close(fd);
    if (at == MAP_FAILED) throw DiskError(path + " can't be mapped");
  }
  ~Mapped() { munmap(at, bytes); }
  std::span<std::byte> memory() { return {static_cast<std::byte*>(at), bytes}; }

  std::size_t bytes;
  void* at;
};

UsageRecorder::UsageRecorder(const UsageRecorderConfig& given, const Names& names,
                             const EngineSettings& terms)
    : given_(given),
      workloads_(names.workloads),
      files_(filesIn(given.folder)),
      mapped_(std::make_unique<Mapped>(given.folder + "/ring", given.ringBytes)),
      periods_(given.every, Duration{static_cast<std::int64_t>(kTolerance * 1e6)}, Duration{}) {
  for (const Workload& w : terms.workloads) windows_.push_back(w.deduplicationWindow);
  for (int of : names.templateOf)
    workloads_.push_back(of < 0 ? std::string() : names.workloads[static_cast<std::size_t>(of)]);
  LedgerWriter::Shape shape;
  shape.instance = given.instance, shape.birth = birthNow();
  shape.log.key = given.key;
  shape.every = given.every;
  shape.correctionKey = given.correctionKey;
  keeper_ = std::make_unique<LedgerWriter>(*files_, shape);
  thread_ = std::thread([this] { run(); });
}

UsageRecorder::~UsageRecorder() {
  ends_ = true;
  thread_.join();
}

void UsageRecorder::publish(UsageRecorderState::Is is, const std::string& what) {
  if (is_.load() == is) return;
  what_ = what;
  is_.store(is, std::memory_order_release);
}

void UsageRecorder::run() {
  std::vector<Finding> found;
  try {
    found = keeper_->open(wallClock());
  } catch (const DiskError& e) {
    return publish(UsageRecorderState::Is::closed, e.what());
  }
  if (!keeper_->isOpen())
    return publish(UsageRecorderState::Is::closed,
                   std::string(ledger::nameOf(found.front().what)) + " in " +
                       found.front().segment + " at byte " + std::to_string(found.front().at));
  periods_.resume(keeper_->newestTime(), keeper_->unsealed());
  if (keeper_->lastSealed()) periods_.sealed(*keeper_->lastSealed());
  ring_ = std::make_unique<Ring>(mapped_->memory(), keeper_->nextPlace());
  // Danger: after a machine's death an entry may be there in part; those behind it can't be read
  // either.
  lost_ += ring_->dropUnreadable();
  publish(UsageRecorderState::Is::open, found.empty() ? "" : "a torn tail was cut off");
  Duration synced = steady();
  // Danger: at the end all that was answered must be on the disk; a disk that takes nothing is not
  // waited for.
  for (bool last = false; !last;) {
    last = ends_;
    std::this_thread::sleep_for(std::chrono::milliseconds(last ? 0 : 2));
    try {
      for (std::uint64_t gone = ring_->goneTo();; gone = ring_->goneTo()) {
        keeper_->drain(*ring_, lost_.load(), wallClock());
        if (ring_->putTo() <= ring_->goneTo() || ring_->goneTo() == gone) break;
      }
      if (last || steady() - synced >= given_.sync) {
        if (keeper_->durable() < keeper_->written()) keeper_->sync();
        synced = steady();
      }
      written_ = keeper_->written(), durable_ = keeper_->durable();
      publish(UsageRecorderState::Is::open, "");
    } catch (const DiskError& e) {
      ++diskErrors_;
      publish(UsageRecorderState::Is::failing, e.what());
      if (!last) std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  }
}

bool UsageRecorder::admits() const {
  if (!given_.refuse) return true;
  auto is = is_.load(std::memory_order_acquire);
  return is != UsageRecorderState::Is::opening && is != UsageRecorderState::Is::closed &&
         ring_->free() > kLeastFree;
}

void UsageRecorder::answered(const request::UsageRecord& m) {
  auto is = is_.load(std::memory_order_acquire);
  if (is == UsageRecorderState::Is::opening || is == UsageRecorderState::Is::closed) {
    ++lost_;
    return;
  }
  Periods::Moment now = periods_.now({wallClock(), steady()});
  if (now.jumped) ++jumps_;
  Answered a;
  a.tenant = m.tenant;
  std::size_t w = static_cast<std::size_t>(m.workload);
  a.workload = w < workloads_.size() ? workloads_[w] : std::string();
  a.group = m.group;
  a.outcome = m.completed ? Outcome::completed : m.rejected ? Outcome::rejected : Outcome::aborted;
  a.bytesIn = m.bytesIn, a.bytesOut = m.bytesOut, a.executions = m.executions,
  a.protocol = m.protocol;
  a.mark = m.mark;
  if (w < windows_.size()) a.window = windows_[w];
  a.at = now.at, a.period = now.period;
  if (!ring_->put(toBytes(a))) ++lost_;
}

UsageRecorderState UsageRecorder::state() const {
  UsageRecorderState s;
  s.is = is_.load(std::memory_order_acquire);
  s.written = written_, s.durable = durable_, s.lost = lost_, s.diskErrors = diskErrors_,
  s.jumps = jumps_;
  if (s.is == UsageRecorderState::Is::open || s.is == UsageRecorderState::Is::failing)
    s.ringFree = ring_->free();
  if (s.is == UsageRecorderState::Is::closed) s.what = what_;
  return s;
}

}  // namespace reedchute::ledger

// Random connections of a model that knows when each byte was sent: a client with a send buffer, a
// receive window that fills, a proxy that reads pieces of any size after pauses of any length. No
// byte may count from later than it was sent (by more than a store may be told too much), nor from
// before the time in which nothing was on its way.
#include "client/arrival_clock.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <optional>
#include <random>
#include <vector>

#include "trace.h"

using namespace reedchute;
using client::ArrivalClock;
using client::ReadContext;
using test::Case;

namespace {

constexpr std::int64_t kStepMs = 1;
constexpr std::int64_t kRunMs = 20'000;
constexpr std::size_t kUnit = 1024;  // bytes; the model moves whole units
constexpr std::size_t kWindow = 64;  // units
constexpr std::size_t kReceiveBuffer = 2 * kWindow;
constexpr std::size_t kSendBuffer = 4096;  // units
constexpr std::size_t kSegment = kWindow;  // units that come in one step
constexpr std::int64_t kMaxRefillMs = 200;
constexpr std::int64_t kQuietMs = 260;  // longer than any refill
constexpr std::int64_t kLongStallMs = 10;
constexpr std::int64_t kSlackMs = 150;  // that a store may be told more than is left

struct Findings {
  int tooLate = 0;
  int tooEarly = 0;
  int units = 0;
};

class Connection {
 public:
  Connection(std::uint64_t seed, Findings& findings)
      : random_(seed),
        findings_(findings),
        acceptWaitMs_(below(3) == 0 ? below(900) : 0),
        refillMs_(below(4) == 0 ? below(kMaxRefillMs) : below(3)),
        isBusy_(below(2) == 0),
        readsPieces_(below(2) == 0),
        floods_(below(8) == 0),
        clock_(acceptWaitMs_ > 0 ? at(0) : kNever, millis(acceptWaitMs_)) {}

  void run() {
    nextReadMs_ = acceptWaitMs_;
    for (nowMs_ = 0; nowMs_ < kRunMs; nowMs_ += kStepMs) {
      write();
      transfer();
      if (nowMs_ >= nextReadMs_) read();
    }
  }

 private:
  static Duration millis(std::int64_t count) { return {count * 1000}; }
  static TimePoint at(std::int64_t count) { return TimePoint{} + millis(count); }
  std::int64_t below(std::int64_t n) {
    return static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(n));
  }

  // The client sends bursts, or rests.
  void write() {
    if (nowMs_ < nextWriteMs_) return;
    int most = floods_ ? 3'000 : below(8) == 0 ? 300 : 12;
    for (std::int64_t k = below(most); k > 0 && sendBuffer_.size() < kSendBuffer; --k)
      sendBuffer_.push_back(nowMs_);
    std::int64_t pause = below(10) == 0 ? below(1'200) : below(isBusy_ ? 20 : 200);
    nextWriteMs_ = nowMs_ + (floods_ ? 0 : pause);
  }

  // What the receive window has room for arrives, once the client has heard of the room.
  void transfer() {
    if (kernel_.size() >= kWindow && !isWindowFull_) {
      isWindowFull_ = true;
      fullSinceMs_ = nowMs_;
    }
    if (isWindowFull_ && kernel_.size() < kWindow / 2) {
      isWindowFull_ = false;
      bool wasLong = nowMs_ - fullSinceMs_ >= kLongStallMs;
      mayTransferMs_ = nowMs_ + (wasLong ? refillMs_ : 0);
    }
    if (isWindowFull_ || nowMs_ < mayTransferMs_) return;
    for (std::size_t k = 0; k < kSegment && !sendBuffer_.empty() && kernel_.size() < kWindow; ++k) {
      if (!unreadSinceMs_) noteFirstUnread();
      kernel_.push_back(sendBuffer_.front());
      sendBuffer_.pop_front();
      lastReceiveMs_ = nowMs_;
    }
  }

  void noteFirstUnread() {
    unreadSinceMs_ = std::max(nowMs_, acceptWaitMs_);
    bool wasQuiet = nowMs_ - drainedMs_ >= kQuietMs;
    if (wasQuiet) hasBeenFull_ = false;
    if (wasQuiet || !hasBeenFull_) boundMs_ = drainedMs_;
  }

  void read() {
    ReadContext context{at(nowMs_), kNever, {}, {}};
    if (unreadSinceMs_) context.unreadSince = at(*unreadSinceMs_);
    if (clock_.needsLastReceive()) context.sinceLastReceive = millis(nowMs_ - lastReceiveMs_);
    if (clock_.needsQueue(context))
      context.queue = runtime::ReceiveQueue{kernel_.size() * kUnit, kReceiveBuffer * kUnit};
    if (kernel_.size() * 4 >= kReceiveBuffer) hasBeenFull_ = true;
    TimePoint told = clock_.beforeRead(context);
    std::size_t wanted = readsPieces_ ? static_cast<std::size_t>(1 + below(100)) : kWindow * 4;
    std::size_t count = std::min(wanted, kernel_.size());
    for (std::size_t k = 0; k < count; ++k) check(told);
    bool isDrained = count < wanted;
    clock_.afterRead(at(nowMs_), count * kUnit, isDrained);
    if (isDrained) {
      drainedMs_ = nowMs_;
      unreadSinceMs_.reset();
    }
    nextReadMs_ = nowMs_ + (below(floods_ ? 60 : 6) == 0 ? below(900) : 0);
  }

  void check(TimePoint told) {
    // Bytes of several moments that waited to be accepted count from the last of them.
    bool waitedForAccept = kernel_.front() <= acceptWaitMs_;
    findings_.tooLate += told > at(kernel_.front() + kSlackMs) && !waitedForAccept;
    findings_.tooEarly += told < at(boundMs_) || told < at(floodBoundMs());
    kernel_.pop_front();
    readAtMs_.push_back(nowMs_);
    ++findings_.units;
  }

  // Twice what both kernels hold has been read since then.
  std::int64_t floodBoundMs() const {
    constexpr std::size_t kHeld = 2 * (kSendBuffer + kReceiveBuffer) + kWindow * 8;
    return readAtMs_.size() < kHeld ? 0 : readAtMs_[readAtMs_.size() - kHeld];
  }

  std::mt19937_64 random_;
  Findings& findings_;
  const std::int64_t acceptWaitMs_;
  const std::int64_t refillMs_;
  const bool isBusy_;
  const bool readsPieces_;
  const bool floods_;
  ArrivalClock clock_;
  std::deque<std::int64_t> sendBuffer_;  // when each byte was sent
  std::deque<std::int64_t> kernel_;
  std::vector<std::int64_t> readAtMs_;
  std::int64_t nowMs_ = 0;
  std::int64_t nextWriteMs_ = 0;
  std::int64_t nextReadMs_ = 0;
  std::int64_t fullSinceMs_ = 0;
  std::int64_t mayTransferMs_ = 0;
  std::int64_t lastReceiveMs_ = 0;
  std::int64_t drainedMs_ = 0;
  std::int64_t boundMs_ = 0;
  std::optional<std::int64_t> unreadSinceMs_;
  bool isWindowFull_ = false;
  bool hasBeenFull_ = false;
};

void arrivalClock() {
  constexpr std::uint64_t kConnections = 1'000;
  Findings findings;
  for (std::uint64_t seed = 1; seed <= kConnections; ++seed) Connection(seed, findings).run();
  std::printf("bytes were read: %s; counted from too late: %d, from too early: %d\n",
              findings.units > 100'000 ? "yes" : "no", findings.tooLate, findings.tooEarly);
}

constexpr Case kCases[] = {{"arrivalClock", arrivalClock}};

}  // namespace

// arrival_clock CASE
int main(int argc, char** argv) {
  return test::runCase(kCases, argc, argv);
}

// Checks ArrivalClock against a model of random connections that knows when each byte was sent. The
// model has a client with a send buffer, a receive window that may fill up, and a proxy that reads
// pieces of any size after pauses of any length. The arrival time reported for a byte must not be
// later than when it was sent (by more than kToleranceMs), nor earlier than the last time at which
// no bytes were in transit.
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
constexpr std::size_t kUnitBytes = 1024;  // the model moves whole units
constexpr std::size_t kWindowUnits = 64;
constexpr std::size_t kReceiveBufferUnits = 2 * kWindowUnits;
constexpr std::size_t kSendBufferUnits = 4096;
constexpr std::size_t kMaxUnitsPerStep = kWindowUnits;  // received in one step
constexpr std::int64_t kMaxRefillMs = 200;
constexpr std::int64_t kMinQuietMs = 260;  // longer than any refill
constexpr std::int64_t kMinStallMs = 10;
// The time limit given to a store may exceed the time left by at most this much.
constexpr std::int64_t kToleranceMs = 150;

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
        readsInPieces_(below(2) == 0),
        isFlooding_(below(8) == 0),
        isHeldUp_(!isFlooding_ && below(3) == 0),
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
  std::int64_t below(std::int64_t limit) {
    return static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(limit));
  }

  // The client sends bursts of data with pauses in between.
  void write() {
    if (nowMs_ < nextWriteMs_) return;
    int maxUnits = isFlooding_ ? 3'000 : below(8) == 0 ? 300 : 12;
    for (std::int64_t k = below(maxUnits); k > 0 && sendBuffer_.size() < kSendBufferUnits; --k)
      sendBuffer_.push_back(nowMs_);
    std::int64_t pause = below(10) == 0 ? below(1'200) : below(isBusy_ ? 20 : 200);
    nextWriteMs_ = nowMs_ + (isFlooding_ ? 0 : pause);
  }

  // Transfers what fits into the receive window, once the client has received the window update.
  void transfer() {
    if (receiveQueue_.size() >= kWindowUnits && !isWindowFull_) {
      isWindowFull_ = true;
      fullSinceMs_ = nowMs_;
    }
    if (isWindowFull_ && receiveQueue_.size() < kWindowUnits / 2) {
      isWindowFull_ = false;
      bool hasStalled = nowMs_ - fullSinceMs_ >= kMinStallMs;
      mayTransferMs_ = nowMs_ + (hasStalled ? refillMs_ : 0);
    }
    if (isWindowFull_ || nowMs_ < mayTransferMs_) return;
    for (std::size_t k = 0;
         k < kMaxUnitsPerStep && !sendBuffer_.empty() && receiveQueue_.size() < kWindowUnits; ++k) {
      if (!unreadSinceMs_) onFirstUnread();
      receiveQueue_.push_back(sendBuffer_.front());
      sendBuffer_.pop_front();
      lastReceiveMs_ = nowMs_;
    }
  }

  void onFirstUnread() {
    unreadSinceMs_ = std::max(nowMs_, acceptWaitMs_);
    bool wasQuiet = nowMs_ - lastDrainedMs_ >= kMinQuietMs;
    if (wasQuiet) wasWindowFull_ = false;
    if (wasQuiet || !wasWindowFull_) earliestPossibleMs_ = lastDrainedMs_;
  }

  void read() {
    ReadContext context{at(nowMs_), kNever, {}, {}};
    if (unreadSinceMs_ && !reportedMs_) {
      reportedMs_ = isHeldUp_ ? nowMs_ : *unreadSinceMs_;
      if (isHeldUp_) mayBeUnreadSince_ = at(lastReadMs_);
    }
    if (reportedMs_) context.unreadSince = at(*reportedMs_);
    context.mayBeUnreadSince = mayBeUnreadSince_;
    if (clock_.needsLastReceive(context))
      context.sinceLastReceive = millis(nowMs_ - lastReceiveMs_);
    if (clock_.needsQueue(context))
      context.queue = runtime::ReceiveQueue{receiveQueue_.size() * kUnitBytes,
                                            kReceiveBufferUnits * kUnitBytes};
    if (receiveQueue_.size() * 4 >= kReceiveBufferUnits) wasWindowFull_ = true;
    TimePoint earliestArrival = clock_.beforeRead(context);
    std::size_t maxUnits = readsInPieces_ ? static_cast<std::size_t>(1 + below(100))
                                          : kWindowUnits * 4;
    std::size_t count = std::min(maxUnits, receiveQueue_.size());
    for (std::size_t k = 0; k < count; ++k) check(earliestArrival);
    lastReadMs_ = nowMs_;
    bool isDrained = count < maxUnits;
    clock_.afterRead(at(nowMs_), count * kUnitBytes, isDrained);
    if (isDrained) {
      lastDrainedMs_ = nowMs_;
      unreadSinceMs_.reset();
      reportedMs_.reset();
      mayBeUnreadSince_ = kNever;
    }
    nextReadMs_ = nowMs_ + (below(isFlooding_ ? 60 : 6) == 0 ? below(900) : 0);
  }

  void check(TimePoint earliestArrival) {
    // Bytes received at different times before the connection was accepted, or while the process
    // was held up, all get the time of the last one.
    bool waitedForAccept = receiveQueue_.front() <= acceptWaitMs_;
    bool cameBeforeOthers = isHeldUp_ && receiveQueue_.front() + kToleranceMs < lastReceiveMs_;
    findings_.tooLate += earliestArrival > at(receiveQueue_.front() + kToleranceMs) &&
                         !waitedForAccept && !cameBeforeOthers;
    findings_.tooEarly += earliestArrival < at(earliestPossibleMs_) ||
                          earliestArrival < at(floodBoundMs());
    receiveQueue_.pop_front();
    readAtMs_.push_back(nowMs_);
    ++findings_.units;
  }

  // Returns the time since which twice the amount that both kernels can buffer has been read.
  std::int64_t floodBoundMs() const {
    constexpr std::size_t kMaxBufferedUnits = 2 * (kSendBufferUnits + kReceiveBufferUnits) +
                                              kWindowUnits * 8;
    return readAtMs_.size() < kMaxBufferedUnits ? 0
                                                : readAtMs_[readAtMs_.size() - kMaxBufferedUnits];
  }

  std::mt19937_64 random_;
  Findings& findings_;
  const std::int64_t acceptWaitMs_;
  const std::int64_t refillMs_;
  const bool isBusy_;
  const bool readsInPieces_;
  const bool isFlooding_;
  const bool isHeldUp_;  // pauses are of the whole process, which sees what came only afterwards
  ArrivalClock clock_;
  std::deque<std::int64_t> sendBuffer_;  // when each unit was sent
  std::deque<std::int64_t> receiveQueue_;
  std::vector<std::int64_t> readAtMs_;
  std::int64_t nowMs_ = 0;
  std::int64_t nextWriteMs_ = 0;
  std::int64_t nextReadMs_ = 0;
  std::int64_t fullSinceMs_ = 0;
  std::int64_t mayTransferMs_ = 0;
  std::int64_t lastReceiveMs_ = 0;
  std::int64_t lastReadMs_ = 0;
  std::int64_t lastDrainedMs_ = 0;
  std::int64_t earliestPossibleMs_ = 0;
  std::optional<std::int64_t> unreadSinceMs_;
  std::optional<std::int64_t> reportedMs_;  // when the process learned of unread bytes
  TimePoint mayBeUnreadSince_ = kNever;
  bool isWindowFull_ = false;
  bool wasWindowFull_ = false;
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

#include "ledger/log_scanner.h"

#include <algorithm>
#include <utility>

namespace reedchute::ledger {
namespace {

constexpr std::string_view kSegmentHeader = "reedchute ledger segment ";
constexpr std::size_t kSegmentDigits = 8;
constexpr std::uint64_t kMaxSegments = 100'000'000;

bool isSegment(const std::string& name) {
  return name.starts_with("ledger-") && name.ends_with(".log");
}

}  // namespace

const char* nameOf(Finding::Kind kind) {
  static constexpr const char* kNames[] = {"a torn tail",
                                           "damaged bytes",
                                           "an end that was synced and is gone",
                                           "a missing segment",
                                           "a broken chain",
                                           "a broken sequence",
                                           "a record that can't be read"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::string segmentName(std::uint64_t number) {
  std::string digits = std::to_string(number);
  std::size_t zeros = kSegmentDigits - std::min(kSegmentDigits, digits.size());
  return "ledger-" + std::string(zeros, '0') + digits + ".log";
}

std::string segmentHeader(std::uint64_t number) {
  return std::string(kSegmentHeader) + std::to_string(number);
}

void LogScanner::addFinding(Finding::Kind kind, const std::string& segment, std::size_t at) {
  result_.findings.push_back({kind, segment, at, result_.newest + 1});
}

ScanResult LogScanner::run() {
  result_.mac = ChainMac::initial();
  std::vector<std::string> segments = files_.list();
  std::erase_if(segments, [](const std::string& name) { return !isSegment(name); });
  for (const std::string& name : segments) {
    checkSegmentNumber(name);
    if (mustStop()) return std::move(result_);
    scanSegment(name, &name == &segments.back());
    if (mustStop()) return std::move(result_);
  }
  if (result_.newest < anchor_)
    addFinding(Finding::Kind::missingEnd, result_.segment, result_.readableBytes);
  return std::move(result_);
}

void LogScanner::checkSegmentNumber(const std::string& name) {
  std::uint64_t expected = ++result_.segmentNumber;
  if (name == segmentName(expected)) return;
  addFinding(Finding::Kind::missingSegment, segmentName(expected), 0);
  while (segmentName(expected) != name && expected < kMaxSegments) ++expected;
  result_.segmentNumber = expected;
  // Neither the chain nor the sequence can be checked across the missing segments.
  result_.mac.clear();
  result_.newest = 0;
}

void LogScanner::scanSegment(const std::string& name, bool isNewest) {
  std::string bytes = files_.read(name);
  result_.segment = name;
  result_.readableBytes = 0;
  bool isHeader = true;
  std::size_t at = 0;
  while (at < bytes.size()) {
    std::optional<Frame> frame = decodeFrame(std::string_view(bytes).substr(at));
    if (!frame) {
      std::optional<std::size_t> next = skipUnreadable(bytes, at, isNewest);
      if (!next) return;
      at = *next;
      continue;
    }
    checkChain(*frame, at);
    if (mustStop()) return;
    bool isReadable = readPayload(*frame, at, std::exchange(isHeader, false));
    if (mustStop()) return;
    at += frame->size;
    if (isReadable) result_.readableBytes = at;
  }
}

// Adds a finding for the unreadable bytes at `at`. Returns where the next frame begins, or nullopt
// if the scan of this segment ends.
//
// When a machine crashes, unsynced bytes may be lost in any order, which looks like damage. Later
// frames contain the newest record that was synced when they were written: unreadable records up to
// that one are damaged, later ones are a torn tail.
std::optional<std::size_t> LogScanner::skipUnreadable(std::string_view bytes, std::size_t at,
                                                      bool isNewest) {
  std::optional<std::size_t> next;
  std::uint64_t synced = 0;
  for (std::size_t candidate = bytes.find(kFrameMagic, at + 1); candidate != std::string::npos;
       candidate = bytes.find(kFrameMagic, candidate + 1)) {
    std::optional<Frame> later = decodeFrame(bytes.substr(candidate));
    if (!later) continue;
    if (!next) next = candidate;
    synced = std::max(synced, later->durable);
  }
  bool isTorn = isNewest && synced <= result_.newest && anchor_ <= result_.newest;
  addFinding(isTorn ? Finding::Kind::tornTail : Finding::Kind::damaged, result_.segment, at);
  if (isTorn || mustStop() || !next) return std::nullopt;
  result_.mac.clear();
  return next;
}

void LogScanner::checkChain(const Frame& frame, std::size_t at) {
  bool isChained = result_.mac.empty() || chainMac_.next(result_.mac, frame.payload) == frame.mac;
  if (!isChained) addFinding(Finding::Kind::chainBroken, result_.segment, at);
  result_.mac = frame.mac;
}

// Returns false if the frame holds a record that can't be parsed.
bool LogScanner::readPayload(const Frame& frame, std::size_t at, bool isHeader) {
  if (isHeader) {
    if (!frame.payload.starts_with(kSegmentHeader))
      addFinding(Finding::Kind::unreadable, result_.segment, 0);
    return true;
  }
  wire::Record record;
  if (!record.ParseFromArray(frame.payload.data(), static_cast<int>(frame.payload.size()))) {
    addFinding(Finding::Kind::unreadable, result_.segment, at);
    return false;
  }
  if (record.seq() != result_.newest + 1 && result_.newest != 0) {
    addFinding(Finding::Kind::sequenceBroken, result_.segment, at);
    if (mustStop()) return false;
  }
  result_.newest = record.seq();
  onRecord_(record);
  return true;
}

}  // namespace reedchute::ledger

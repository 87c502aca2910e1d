// Reads the log's segments in order, checks the MAC chain and the sequence numbers of the records,
// and reports defects. Changes nothing on the disk.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ledger/chain_mac.h"
#include "ledger/files.h"
#include "ledger/ledger.pb.h"
#include "ledger/log_frame.h"

namespace reedchute::ledger {

// A defect of the log and its location.
struct Finding {
  enum class Kind {
    tornTail,  // incomplete unsynced records at the end of the log
    damaged,
    missingEnd,  // synced records at the end of the log are missing
    missingSegment,
    chainBroken,
    sequenceBroken,
    unreadable  // a record that can't be parsed, or a segment without its header
  };
  Kind kind = Kind::damaged;
  std::string segment;
  std::size_t at = 0;     // byte offset in the segment
  std::uint64_t seq = 0;  // of the record that was expected there
};
const char* nameOf(Finding::Kind kind);

// The file name of a segment, and the payload of its first frame.
std::string segmentName(std::uint64_t number);
std::string segmentHeader(std::uint64_t number);

using RecordHandler = std::function<void(const wire::Record&)>;

struct ScanResult {
  std::vector<Finding> findings;
  std::uint64_t newest = 0;         // sequence number of the newest record
  std::string mac;                  // of the last frame; empty after unreadable bytes
  std::string segment;              // name of the newest segment
  std::uint64_t segmentNumber = 0;  // its number
  std::size_t readableBytes = 0;    // at the start of the newest segment
};

class LogScanner {
 public:
  enum class Mode { untilFirstFinding, findAll };

  // `anchor`: the newest record known to be synced. The referenced objects must outlive the
  // scanner.
  LogScanner(Files& files, const ChainMac& chainMac, std::uint64_t anchor, Mode mode,
             const RecordHandler& onRecord)
      : files_(files), chainMac_(chainMac), anchor_(anchor), mode_(mode), onRecord_(onRecord) {}

  // Throws DiskError.
  ScanResult run();

 private:
  bool mustStop() const { return mode_ == Mode::untilFirstFinding && !result_.findings.empty(); }
  void addFinding(Finding::Kind kind, const std::string& segment, std::size_t at);
  void checkSegmentNumber(const std::string& name);
  void scanSegment(const std::string& name, bool isNewest);
  std::optional<std::size_t> skipUnreadable(std::string_view bytes, std::size_t at, bool isNewest);
  void checkChain(const Frame& frame, std::size_t at);
  bool readPayload(const Frame& frame, std::size_t at, bool isHeader);

  Files& files_;
  const ChainMac& chainMac_;
  std::uint64_t anchor_;
  Mode mode_;
  const RecordHandler& onRecord_;
  ScanResult result_;
};

}  // namespace reedchute::ledger

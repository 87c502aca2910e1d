// Reads the log's segments in order, checks the chain and the sequence of the records, and says
// what is wrong with them. Changes nothing on the disk.
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

// What was found wrong, and where.
struct Finding {
  enum class What {
    tornTail,
    damaged,
    lostEnd,
    missingSegment,
    chainBroken,
    sequenceBroken,
    unreadable
  };
  What what = What::damaged;
  std::string segment;
  std::size_t at = 0;     // byte
  std::uint64_t seq = 0;  // the record that was expected there
};
const char* nameOf(Finding::What what);

// A segment's file, and the payload of its first frame.
std::string segmentName(std::uint64_t number);
std::string segmentHead(std::uint64_t number);

using RecordHandler = std::function<void(const wire::Record&)>;

struct ScanResult {
  std::vector<Finding> findings;
  std::uint64_t newest = 0;         // record
  std::string mac;                  // of the last frame; empty after what can't be read
  std::string segment;              // the newest
  std::uint64_t segmentNumber = 0;  // its number
  std::size_t readableBytes = 0;    // of the newest segment, from its start
};

class LogScanner {
 public:
  enum class Mode { untilFirstFinding, findAll };

  // `anchor`: the newest record that is known to have been synced. The references must outlive it.
  LogScanner(Files& files, const ChainMac& chainMac, std::uint64_t anchor, Mode mode,
             const RecordHandler& onRecord)
      : files_(files), chainMac_(chainMac), anchor_(anchor), mode_(mode), onRecord_(onRecord) {}

  ScanResult run();

 private:
  bool mustStop() const { return mode_ == Mode::untilFirstFinding && !result_.findings.empty(); }
  void report(Finding::What what, const std::string& segment, std::size_t at);
  void expectSegment(const std::string& name);
  void scanSegment(const std::string& name, bool isNewest);
  std::optional<std::size_t> skipUnreadable(std::string_view bytes, std::size_t at, bool isNewest);
  void checkChain(const Frame& frame, std::size_t at);
  bool readPayload(const Frame& frame, std::size_t at, bool isHead);

  Files& files_;
  const ChainMac& chainMac_;
  std::uint64_t anchor_;
  Mode mode_;
  const RecordHandler& onRecord_;
  ScanResult result_;
};

}  // namespace reedchute::ledger

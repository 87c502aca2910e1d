// The ledger's log: records in segment files, each chained to the one before by a keyed MAC
// (log_frame.h has the format). Records are only ever appended, never changed. One thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "ledger/chain_mac.h"
#include "ledger/files.h"
#include "ledger/ledger.pb.h"
#include "ledger/log_scanner.h"
#include "ledger/sync_anchor.h"

namespace reedchute::ledger {

class Log {
 public:
  struct Options {
    std::string key;                      // of the chain
    std::size_t segmentBytes = 16 << 20;  // after which another segment is begun
  };

  // `files` must outlive it.
  Log(Files& files, Options options);

  // Reads all records, cuts off a torn tail, and makes ready to append. With any other finding it
  // stays closed. Returns the findings.
  std::vector<Finding> open(const RecordHandler& onRecord);
  // Reads all records and changes nothing. Returns every finding.
  std::vector<Finding> verify(const RecordHandler& onRecord);

  // Gives the record its number, which is returned. In memory until write().
  std::uint64_t append(wire::Record& record);
  // What was appended survives the process from here on. Throws DiskError; then nothing is lost,
  // and write() may be tried again.
  void write();
  // What was written survives the machine's death from here on. Throws DiskError.
  void sync();

  std::uint64_t newest() const { return newest_; }
  std::uint64_t written() const { return written_; }
  std::uint64_t durable() const { return durable_; }
  std::size_t pendingBytes() const { return pending_.size(); }
  bool isOpen() const { return isOpen_; }

  // The digest of a run of records, over their payloads.
  static std::string digestOf(const std::vector<std::string>& payloads);

 private:
  ScanResult scan(const RecordHandler& onRecord, LogScanner::Mode mode);
  std::string chainedFrame(std::string_view payload);
  void writeNewSegment();

  Files& files_;
  Options options_;
  ChainMac chainMac_;
  SyncAnchor anchor_;
  bool isOpen_ = false;
  bool needsSegment_ = true;
  std::uint64_t newest_ = 0;
  std::uint64_t written_ = 0;
  std::uint64_t durable_ = 0;
  std::uint64_t segmentNumber_ = 0;  // the newest
  std::size_t segmentSize_ = 0;      // bytes, without what is pending
  std::string mac_;                  // of the newest record
  std::string writtenMac_;           // of the newest one that was written
  std::string pending_;              // frames that are to be written
  std::string unsyncedSegment_;      // its name; empty where all is synced
};

}  // namespace reedchute::ledger

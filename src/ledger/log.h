// The ledger's log: records in segment files, each chained to the previous one by a keyed MAC (see
// log_frame.h for the format). Records are only appended, never changed. For use by one thread.
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
    std::string key;                      // of the MAC chain
    std::size_t segmentBytes = 16 << 20;  // size after which a new segment is started
  };

  // `files` must outlive it.
  Log(Files& files, Options options);

  // Reads all records, truncates a torn tail, and prepares for appending. Returns the findings;
  // with any finding other than a torn tail the log stays closed. Throws DiskError.
  std::vector<Finding> open(const RecordHandler& onRecord);
  // Reads all records without changing anything, and returns all findings. Throws DiskError.
  std::vector<Finding> verify(const RecordHandler& onRecord);

  // Assigns the next sequence number to the record and returns it. The record is in memory only
  // until write().
  std::uint64_t append(wire::Record& record);
  // Writes the appended records, which survive the process from then on. Throws DiskError; no
  // record is lost then, and write() may be called again.
  void write();
  // Syncs the written records, which survive a crash of the machine from then on. Throws DiskError.
  void sync();

  // The sequence numbers of the newest appended, written and synced record; 0 if there is none.
  std::uint64_t newest() const { return newest_; }
  std::uint64_t written() const { return written_; }
  std::uint64_t durable() const { return durable_; }
  std::size_t pendingBytes() const { return pending_.size(); }
  bool isOpen() const { return isOpen_; }

  // The SHA-256 digest of a range of records, over their payloads and their lengths.
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
  std::size_t segmentSize_ = 0;      // bytes, without pending_
  std::string mac_;                  // of the newest record
  std::string writtenMac_;           // of the newest written record
  std::string pending_;              // frames that are not written yet
  std::string unsyncedSegment_;      // its name; empty if everything is synced
};

}  // namespace reedchute::ledger

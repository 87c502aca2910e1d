// A file next to the log's segments to which each sync appends the sequence number of the newest
// synced record. The file itself is never synced: after a crash of the machine its number may be
// too low, but never too high.
#pragma once

#include <cstddef>
#include <cstdint>

#include "ledger/files.h"

namespace reedchute::ledger {

class SyncAnchor {
 public:
  // `files` must outlive it.
  explicit SyncAnchor(Files& files) : files_(files) {}

  // Returns the newest record known to be synced, or 0 if none is known. Throws DiskError.
  std::uint64_t read();
  // Throws DiskError.
  void append(std::uint64_t durable);

 private:
  Files& files_;
  std::size_t size_ = 0;  // bytes of the file
};

}  // namespace reedchute::ledger

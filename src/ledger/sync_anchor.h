// A file beside the log's segments to which each sync adds the number of the newest synced record.
// It is never synced itself: after a machine's death it may be behind, and is never ahead.
#pragma once

#include <cstddef>
#include <cstdint>

#include "ledger/files.h"

namespace reedchute::ledger {

class SyncAnchor {
 public:
  // `files` must outlive it.
  explicit SyncAnchor(Files& files) : files_(files) {}

  // The newest record that is known to have been synced; 0 where none is.
  std::uint64_t read();
  void append(std::uint64_t durable);

 private:
  Files& files_;
  std::size_t size_ = 0;  // bytes of the file
};

}  // namespace reedchute::ledger

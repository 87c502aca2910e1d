// A ring buffer of entries in memory that is mapped from a file, so that its entries survive the
// process. The proxy's thread puts an entry before it answers the client; the ledger's thread
// writes it to the log. One writer and one reader, which may be two threads. The writer makes no
// system call other than waking a waiting reader.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace reedchute::ledger {

class EntryRing {
 public:
  // Opens the ring in `memory`, which is at least 4 KiB and must outlive it. If the memory doesn't
  // hold a valid ring, or holds one that is older than entry `first`, the ring is initialized empty
  // with `first` as the index of its first entry.
  EntryRing(std::span<std::byte> memory, std::uint64_t first);

  struct Entry {
    std::uint64_t index = 0;  // counted from the ledger's beginning; never reused
    std::string bytes;
  };

  // Returns false, and puts nothing, if there is no room.
  bool put(std::string_view bytes);
  // Returns the oldest unreleased entry with an index above `after`, or nullopt if there is none or
  // it is incomplete or damaged.
  std::optional<Entry> next(std::uint64_t after = 0) const;
  // Drops all entries from the first incomplete or damaged one on, and returns their number. Must
  // not be called while another thread puts entries.
  std::uint64_t dropUnreadable();
  // Frees all entries up to this index, which are in the log.
  void release(std::uint64_t index);

  std::uint64_t newestIndex() const;
  std::uint64_t releasedIndex() const;
  std::size_t freeBytes() const;
  // Whether the memory held a valid ring when it was opened.
  bool wasReadable() const { return wasReadable_; }
  // Blocks the reader until an entry with an index above `seen` was put, or wakeReader() is called.
  void wait(std::uint64_t seen) const;
  void wakeReader();

 private:
  // Stored at the start of the memory. Byte counts are totals since the ring was initialized.
  struct Header {
    std::uint64_t magic;
    std::uint64_t size;
    std::atomic<std::uint64_t> put;
    std::atomic<std::uint64_t> putBytes;
    std::atomic<std::uint64_t> released;
    std::atomic<std::uint64_t> releasedBytes;
    std::uint64_t unused;
  };
  struct EntryHeader;

  Header& header() const { return *reinterpret_cast<Header*>(memory_.data()); }
  std::size_t capacity() const { return memory_.size() - kHeaderBytes; }
  bool isReadable(std::uint64_t first) const;
  void copyIn(std::uint64_t at, std::string_view bytes);
  std::string copyOut(std::uint64_t at, std::size_t size) const;
  EntryHeader entryHeaderAt(std::uint64_t at) const;

  static constexpr std::size_t kHeaderBytes = 128;
  std::span<std::byte> memory_;
  bool wasReadable_ = false;
  // The entry that was read last, and the byte count at which it ends.
  mutable std::uint64_t lastReadIndex_ = 0;
  mutable std::uint64_t lastReadEnd_ = 0;
  std::atomic<std::uint64_t> wakeups_{0};
};

}  // namespace reedchute::ledger

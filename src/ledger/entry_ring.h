// A ring buffer of entries in memory that is mapped from a file, so that what is put there outlives
// the process. The proxy's thread puts an entry before it answers the client; the ledger's thread
// takes it to the log. One writer and one reader, which may be two threads; no system call on the
// writer's way but the wake-up of a waiting reader.
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
  // Over memory of at least 4 KiB that holds a ring already. Where it can't be read as one the ring
  // begins empty, with `first` as the place of its first entry.
  EntryRing(std::span<std::byte> memory, std::uint64_t first);

  struct Entry {
    std::uint64_t place = 0;  // counted from the ledger's beginning; never used twice
    std::string bytes;
  };

  // False where there is no room: nothing was put.
  bool put(std::string_view bytes);
  // The oldest entry behind `after` that wasn't released. Nothing where there is none, or where it
  // isn't whole.
  std::optional<Entry> next(std::uint64_t after = 0) const;
  // Drops all from the first entry that isn't whole, and says how many. Not while another thread
  // puts.
  std::uint64_t dropUnreadable();
  // All entries up to this place are in the log.
  void release(std::uint64_t place);

  std::uint64_t newestPlace() const;
  std::uint64_t releasedPlace() const;
  std::size_t freeBytes() const;
  bool wasReadable() const { return wasReadable_; }
  // Blocks the reader until something was put behind the place `seen`, or wakeReader() is called.
  void wait(std::uint64_t seen) const;
  void wakeReader();

 private:
  // The start of the memory. Byte counts go on from the ring's beginning.
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
  // The entry that was read last, and where the one behind it begins.
  mutable std::uint64_t lastReadPlace_ = 0;
  mutable std::uint64_t lastReadEnd_ = 0;
  std::atomic<std::uint64_t> wakeups_{0};
};

}  // namespace reedchute::ledger

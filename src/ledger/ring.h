// A ring of records in memory that outlives the process that writes it: mapped from a file, a store
// into it is kept by the system whatever becomes of the process. The front puts an entry here
// before it answers; the ledger's writer takes it on to the log. One writer, one reader, which may
// be two threads; no system call on the way.
#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace reedchute::ledger {

class Ring {
 public:
  // Over memory that holds a ring already, or nothing that can be read as one: then it begins
  // empty, with `first` as the place of its first entry. At least 4 KiB.
  Ring(std::span<std::byte> memory, std::uint64_t first);

  struct Entry {
    std::uint64_t place = 0;  // counted from the ledger's beginning; never used twice
    std::string bytes;
  };

  // False where there is no room: nothing was put.
  bool put(std::string_view bytes);
  // The oldest that was not let go, or the one behind `after`. Nothing where there is none, or
  // where what stands there was not put whole.
  std::optional<Entry> next(std::uint64_t after = 0) const;
  // Lets go all from the first that isn't whole; how many. Not while another thread puts.
  std::uint64_t dropUnreadable();
  // All up to this place are in the log.
  void letGo(std::uint64_t place);

  std::uint64_t putTo() const;   // the place of the newest entry
  std::uint64_t goneTo() const;  // and of the newest that was let go
  std::size_t free() const;
  bool wasReadable() const { return readable_; }
  // Blocks the reader until something was put after `seen` entries, or is told to look.
  void wait(std::uint64_t seen) const;
  void look();

 private:
  struct Head {
    std::uint64_t magic;
    std::uint64_t size;
    std::atomic<std::uint64_t> put;       // places
    std::atomic<std::uint64_t> putBytes;  // since the ring began
    std::atomic<std::uint64_t> gone, goneBytes;
    std::uint64_t sum;
  };
  Head& head() const { return *reinterpret_cast<Head*>(memory_.data()); }
  std::size_t room() const { return memory_.size() - kHead; }
  void copyIn(std::uint64_t at, std::string_view bytes);
  std::string copyOut(std::uint64_t at, std::size_t n) const;

  static constexpr std::size_t kHead = 128;
  std::span<std::byte> memory_;
  bool readable_ = false;
  mutable std::uint64_t lastPlace_ = 0,
                        lastAt_ = 0;  // where the entry behind the one read last begins
  mutable std::atomic<std::uint64_t> looks_{0};
};

}  // namespace reedchute::ledger

#include "ledger/entry_ring.h"

#include <zlib.h>

#include <algorithm>
#include <cstring>
#include <new>
#include <vector>

namespace reedchute::ledger {
namespace {

constexpr std::uint64_t kMagic = 0x31676e6972676c72;  // "rlgring1"
constexpr std::size_t kLengthOffset = 0;
constexpr std::size_t kChecksumOffset = 4;
constexpr std::size_t kIndexOffset = 8;
constexpr std::size_t kEntryHeaderBytes = 16;

std::uint32_t checksumOf(std::uint64_t index, std::string_view bytes) {
  uLong sum = ::crc32(0, reinterpret_cast<const Bytef*>(&index), sizeof index);
  return static_cast<std::uint32_t>(
      ::crc32(sum, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

}  // namespace

struct EntryRing::EntryHeader {
  std::uint32_t length = 0;
  std::uint32_t checksum = 0;
  std::uint64_t index = 0;
};

EntryRing::EntryRing(std::span<std::byte> memory, std::uint64_t first) : memory_(memory) {
  wasReadable_ = isReadable(first);
  if (wasReadable_) return;
  std::memset(memory_.data(), 0, kHeaderBytes);
  new (memory_.data()) Header{};
  Header& ring = header();
  ring.size = memory_.size();
  std::uint64_t before = first == 0 ? 0 : first - 1;
  ring.put = before;
  ring.released = before;
  std::atomic_thread_fence(std::memory_order_release);
  ring.magic = kMagic;
}

// After a crash of the machine any page of the memory may hold an older version of its content.
bool EntryRing::isReadable(std::uint64_t first) const {
  const Header& ring = header();
  return ring.magic == kMagic && ring.size == memory_.size() && ring.released <= ring.put &&
         ring.releasedBytes <= ring.putBytes && ring.putBytes - ring.releasedBytes <= capacity() &&
         ring.put + 1 >= first;
}

void EntryRing::copyIn(std::uint64_t at, std::string_view bytes) {
  std::byte* start = memory_.data() + kHeaderBytes;
  std::size_t offset = at % capacity();
  std::size_t untilEnd = std::min(bytes.size(), capacity() - offset);
  std::memcpy(start + offset, bytes.data(), untilEnd);
  std::memcpy(start, bytes.data() + untilEnd, bytes.size() - untilEnd);
}

std::string EntryRing::copyOut(std::uint64_t at, std::size_t size) const {
  std::string bytes(size, '\0');
  const std::byte* start = memory_.data() + kHeaderBytes;
  std::size_t offset = at % capacity();
  std::size_t untilEnd = std::min(size, capacity() - offset);
  std::memcpy(bytes.data(), start + offset, untilEnd);
  std::memcpy(bytes.data() + untilEnd, start, size - untilEnd);
  return bytes;
}

EntryRing::EntryHeader EntryRing::entryHeaderAt(std::uint64_t at) const {
  std::string bytes = copyOut(at, kEntryHeaderBytes);
  EntryHeader entry;
  std::memcpy(&entry.length, bytes.data() + kLengthOffset, sizeof entry.length);
  std::memcpy(&entry.checksum, bytes.data() + kChecksumOffset, sizeof entry.checksum);
  std::memcpy(&entry.index, bytes.data() + kIndexOffset, sizeof entry.index);
  return entry;
}

std::size_t EntryRing::freeBytes() const {
  std::uint64_t put = header().putBytes.load(std::memory_order_relaxed);
  std::uint64_t released = header().releasedBytes.load(std::memory_order_acquire);
  return capacity() - static_cast<std::size_t>(put - released);
}

bool EntryRing::put(std::string_view bytes) {
  if (freeBytes() < kEntryHeaderBytes + bytes.size()) return false;
  Header& ring = header();
  std::uint64_t index = ring.put.load(std::memory_order_relaxed) + 1;
  std::uint64_t at = ring.putBytes.load(std::memory_order_relaxed);
  auto length = static_cast<std::uint32_t>(bytes.size());
  std::uint32_t checksum = checksumOf(index, bytes);
  char entry[kEntryHeaderBytes];
  std::memcpy(entry + kLengthOffset, &length, sizeof length);
  std::memcpy(entry + kChecksumOffset, &checksum, sizeof checksum);
  std::memcpy(entry + kIndexOffset, &index, sizeof index);
  copyIn(at, {entry, kEntryHeaderBytes});
  copyIn(at + kEntryHeaderBytes, bytes);
  // If the process is killed before this point, the entry isn't counted, and its statement was not
  // answered.
  ring.putBytes.store(at + kEntryHeaderBytes + bytes.size(), std::memory_order_release);
  ring.put.store(index, std::memory_order_release);
  wakeReader();
  return true;
}

std::optional<EntryRing::Entry> EntryRing::next(std::uint64_t after) const {
  const Header& ring = header();
  std::uint64_t released = ring.released.load(std::memory_order_acquire);
  std::uint64_t end = ring.putBytes.load(std::memory_order_acquire);
  std::uint64_t index = std::max(after, released) + 1;
  std::uint64_t at = ring.releasedBytes.load(std::memory_order_acquire);
  if (lastReadIndex_ + 1 == index && lastReadIndex_ > released) at = lastReadEnd_;
  while (at + kEntryHeaderBytes <= end) {
    EntryHeader entry = entryHeaderAt(at);
    std::uint64_t entryEnd = at + kEntryHeaderBytes + entry.length;
    if (entryEnd > end) return std::nullopt;
    if (entry.index < index) {
      at = entryEnd;
      continue;
    }
    std::string bytes = copyOut(at + kEntryHeaderBytes, entry.length);
    if (entry.index != index || entry.checksum != checksumOf(index, bytes)) return std::nullopt;
    lastReadIndex_ = index;
    lastReadEnd_ = entryEnd;
    return Entry{index, std::move(bytes)};
  }
  return std::nullopt;
}

std::uint64_t EntryRing::dropUnreadable() {
  std::vector<std::string> readable;
  std::uint64_t index = releasedIndex();
  while (std::optional<Entry> entry = next(index)) {
    index = entry->index;
    readable.push_back(std::move(entry->bytes));
  }
  std::uint64_t dropped = newestIndex() - index;
  if (dropped == 0) return 0;
  Header& ring = header();
  ring.put = ring.released.load();
  ring.putBytes = ring.releasedBytes.load();
  for (const std::string& bytes : readable) put(bytes);
  return dropped;
}

void EntryRing::release(std::uint64_t index) {
  Header& ring = header();
  std::uint64_t released = ring.released.load(std::memory_order_relaxed);
  for (; released < index; ++released) {
    std::uint64_t at = ring.releasedBytes.load(std::memory_order_relaxed);
    std::uint32_t length = entryHeaderAt(at).length;
    ring.released.store(released + 1, std::memory_order_release);
    ring.releasedBytes.store(at + kEntryHeaderBytes + length, std::memory_order_release);
  }
}

std::uint64_t EntryRing::newestIndex() const {
  return header().put.load(std::memory_order_acquire);
}

std::uint64_t EntryRing::releasedIndex() const {
  return header().released.load(std::memory_order_acquire);
}

void EntryRing::wait(std::uint64_t seen) const {
  std::uint64_t wakeups = wakeups_.load(std::memory_order_acquire);
  if (newestIndex() > seen) return;
  wakeups_.wait(wakeups, std::memory_order_acquire);
}

void EntryRing::wakeReader() {
  wakeups_.fetch_add(1, std::memory_order_release);
  wakeups_.notify_one();
}

}  // namespace reedchute::ledger

#include "ledger/ring.h"

#include <zlib.h>

#include <cstring>
#include <new>
#include <vector>

namespace reedchute::ledger {
namespace {

constexpr std::uint64_t kMagic = 0x31676e6972676c72;  // "rlgring1"
constexpr std::size_t kFront = 16;                    // length, CRC, place

std::uint32_t sumOf(std::uint64_t place, std::string_view bytes) {
  uLong sum = ::crc32(0, reinterpret_cast<const Bytef*>(&place), sizeof place);
  return static_cast<std::uint32_t>(
      ::crc32(sum, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

}  // namespace

Ring::Ring(std::span<std::byte> memory, std::uint64_t first) : memory_(memory) {
  Head& h = head();
  // Danger: after a machine's death any page of it may be old; what can't be is not believed.
  readable_ = h.magic == kMagic && h.size == memory_.size() && h.gone <= h.put &&
              h.goneBytes <= h.putBytes && h.putBytes - h.goneBytes <= room() && h.put + 1 >= first;
  if (readable_) return;
  std::memset(memory_.data(), 0, kHead);
  new (memory_.data()) Head{};
  h.size = memory_.size();
  h.put = h.gone = first == 0 ? 0 : first - 1;
  std::atomic_thread_fence(std::memory_order_release);
  h.magic = kMagic;
}

void Ring::copyIn(std::uint64_t at, std::string_view bytes) {
  std::byte* from = memory_.data() + kHead;
  std::size_t place = at % room(), part = std::min(bytes.size(), room() - place);
  std::memcpy(from + place, bytes.data(), part);
  std::memcpy(from, bytes.data() + part, bytes.size() - part);
}

std::string Ring::copyOut(std::uint64_t at, std::size_t n) const {
  std::string bytes(n, '\0');
  const std::byte* from = memory_.data() + kHead;
  std::size_t place = at % room(), part = std::min(n, room() - place);
  std::memcpy(bytes.data(), from + place, part);
  std::memcpy(bytes.data() + part, from, n - part);
  return bytes;
}

std::size_t Ring::free() const {
  return room() - static_cast<std::size_t>(head().putBytes.load(std::memory_order_relaxed) -
                                           head().goneBytes.load(std::memory_order_acquire));
}

bool Ring::put(std::string_view bytes) {
  if (free() < kFront + bytes.size()) return false;
  Head& h = head();
  std::uint64_t place = h.put.load(std::memory_order_relaxed) + 1,
                at = h.putBytes.load(std::memory_order_relaxed);
  char front[kFront];
  std::uint32_t length = static_cast<std::uint32_t>(bytes.size()), sum = sumOf(place, bytes);
  std::memcpy(front, &length, 4), std::memcpy(front + 4, &sum, 4),
      std::memcpy(front + 8, &place, 8);
  copyIn(at, {front, kFront});
  copyIn(at + kFront, bytes);
  // Danger: a process that is killed in between leaves an entry that isn't counted; its statement
  // was not answered.
  h.putBytes.store(at + kFront + bytes.size(), std::memory_order_release);
  h.put.store(place, std::memory_order_release);
  looks_.fetch_add(1, std::memory_order_release);
  looks_.notify_one();
  return true;
}

std::optional<Ring::Entry> Ring::next(std::uint64_t after) const {
  Head& h = head();
  std::uint64_t gone = h.gone.load(std::memory_order_acquire),
                end = h.putBytes.load(std::memory_order_acquire);
  std::uint64_t place = after > gone ? after + 1 : gone + 1;
  std::uint64_t at = h.goneBytes.load(std::memory_order_acquire);
  if (lastPlace_ + 1 == place && lastPlace_ > gone) at = lastAt_;
  for (;;) {
    if (at + kFront > end) return std::nullopt;
    std::string front = copyOut(at, kFront);
    std::uint32_t length = 0, sum = 0;
    std::uint64_t here = 0;
    std::memcpy(&length, front.data(), 4), std::memcpy(&sum, front.data() + 4, 4),
        std::memcpy(&here, front.data() + 8, 8);
    if (at + kFront + length > end) return std::nullopt;
    if (here < place) {
      at += kFront + length;
      continue;
    }
    Entry e{here, copyOut(at + kFront, length)};
    if (here != place || sum != sumOf(here, e.bytes)) return std::nullopt;
    lastPlace_ = here, lastAt_ = at + kFront + length;
    return e;
  }
}

std::uint64_t Ring::dropUnreadable() {
  std::uint64_t place = goneTo();
  while (auto e = next(place)) place = e->place;
  std::uint64_t dropped = putTo() - place;
  if (dropped == 0) return 0;
  Head& h = head();
  // What can be read before it is kept: it is put anew.
  std::vector<std::string> kept;
  for (std::uint64_t k = goneTo();; ++k) {
    auto e = next(k);
    if (!e) break;
    kept.push_back(std::move(e->bytes));
  }
  h.put = h.gone.load();
  h.putBytes = h.goneBytes.load();
  for (const std::string& bytes : kept) put(bytes);
  // Danger: a place is never used twice.
  return dropped;
}

void Ring::letGo(std::uint64_t place) {
  Head& h = head();
  for (std::uint64_t gone = h.gone.load(std::memory_order_relaxed); gone < place; ++gone) {
    std::uint64_t at = h.goneBytes.load(std::memory_order_relaxed);
    std::uint32_t length = 0;
    std::string front = copyOut(at, kFront);
    std::memcpy(&length, front.data(), 4);
    h.gone.store(gone + 1, std::memory_order_release);
    h.goneBytes.store(at + kFront + length, std::memory_order_release);
  }
}

std::uint64_t Ring::putTo() const {
  return head().put.load(std::memory_order_acquire);
}
std::uint64_t Ring::goneTo() const {
  return head().gone.load(std::memory_order_acquire);
}

void Ring::wait(std::uint64_t seen) const {
  std::uint64_t looks = looks_.load(std::memory_order_acquire);
  if (putTo() > seen) return;
  looks_.wait(looks, std::memory_order_acquire);
}

void Ring::look() {
  looks_.fetch_add(1, std::memory_order_release);
  looks_.notify_one();
}

}  // namespace reedchute::ledger

#include "protocols/cassandra/paging_state.h"

#include <xxhash.h>

#include "codec/cql/wire.h"

namespace reedchute::protocols::cassandra {
namespace {

namespace cql = reedchute::cql;

constexpr std::uint8_t kForm = 1;
constexpr std::uint64_t kSeed =
    0x7061676573746174;  // sets these hashes apart from others of the same bytes

std::uint64_t sumOf(std::string_view bytes) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), kSeed);
}

}  // namespace

std::uint64_t storeMark(std::string_view storeId) {
  return XXH3_64bits(storeId.data(), storeId.size());
}

std::string wrapped(const Page& p) {
  std::string bytes;
  cql::addByte(bytes, kForm);
  cql::addLong(bytes, static_cast<std::int64_t>(p.store));
  cql::addLong(bytes, p.position ? p.position->us : 0);
  bytes += p.state;
  cql::addLong(bytes, static_cast<std::int64_t>(sumOf(bytes)));
  return bytes;
}

std::optional<Page> unwrapped(std::string_view bytes) {
  constexpr std::size_t kSum = 8;
  if (bytes.size() < 1 + 8 + 8 + kSum) return std::nullopt;
  cql::Cursor sum(bytes.substr(bytes.size() - kSum));
  bytes.remove_suffix(kSum);
  if (static_cast<std::uint64_t>(sum.eightBytes()) != sumOf(bytes)) return std::nullopt;
  cql::Cursor c(bytes);
  if (c.byte() != kForm) return std::nullopt;
  Page p;
  p.store = static_cast<std::uint64_t>(c.eightBytes());
  if (std::int64_t us = c.eightBytes(); us > 0) p.position = WallTime{us};
  p.state = c.rest();
  return p;
}

}  // namespace reedchute::protocols::cassandra

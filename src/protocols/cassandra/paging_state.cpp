#include "protocols/cassandra/paging_state.h"

#include <xxhash.h>

#include "codec/cql/wire.h"

namespace reedchute::protocols::cassandra {

namespace cql = reedchute::cql;

namespace {

constexpr std::uint8_t kFormat = 1;
constexpr std::size_t kHeaderSize = 1 + 8 + 8;  // bytes: format, store, position
constexpr std::size_t kChecksumSize = 8;        // bytes
// Distinguishes these checksums from other hashes of the same bytes.
constexpr std::uint64_t kSeed = 0x7061676573746174;

std::uint64_t checksumOf(std::string_view bytes) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), kSeed);
}

}  // namespace

std::uint64_t hashOf(std::string_view storeId) {
  return XXH3_64bits(storeId.data(), storeId.size());
}

std::string encodePagingState(const PagingState& paging) {
  std::string bytes;
  cql::addByte(bytes, kFormat);
  cql::addLong(bytes, static_cast<std::int64_t>(paging.storeHash));
  cql::addLong(bytes, paging.position ? paging.position->us : 0);
  bytes += paging.state;
  cql::addLong(bytes, static_cast<std::int64_t>(checksumOf(bytes)));
  return bytes;
}

std::optional<PagingState> decodePagingState(std::string_view bytes) {
  if (bytes.size() < kHeaderSize + kChecksumSize) return std::nullopt;
  cql::Cursor checksum(bytes.substr(bytes.size() - kChecksumSize));
  bytes.remove_suffix(kChecksumSize);
  if (static_cast<std::uint64_t>(checksum.eightBytes()) != checksumOf(bytes)) return std::nullopt;
  cql::Cursor cursor(bytes);
  if (cursor.byte() != kFormat) return std::nullopt;
  PagingState paging;
  paging.storeHash = static_cast<std::uint64_t>(cursor.eightBytes());
  std::int64_t positionUs = cursor.eightBytes();
  if (positionUs > 0) paging.position = WallTime{positionUs};
  paging.state = cursor.rest();
  return paging;
}

}  // namespace reedchute::protocols::cassandra

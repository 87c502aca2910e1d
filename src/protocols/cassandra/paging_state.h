// The paging state that clients receive: the store's own paging state, together with the store that
// issued it and its replication position. So the proxy keeps no state between the pages of a read.
// No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace reedchute::protocols::cassandra {

struct PagingState {
  std::uint64_t storeHash = 0;       // hashOf() the store's id in the endpoint list
  std::optional<WallTime> position;  // replication position of the store; none: unknown
  std::string state;                 // the store's own paging state
};

std::uint64_t hashOf(std::string_view storeId);
std::string encodePagingState(const PagingState& paging);
// Nothing unless a proxy issued these bytes and they are complete and unmodified (by checksum).
std::optional<PagingState> decodePagingState(std::string_view bytes);

}  // namespace reedchute::protocols::cassandra

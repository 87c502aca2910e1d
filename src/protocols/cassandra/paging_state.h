// The paging state that clients get: a store's own, bound to the store and the position that issued
// it. The proxy keeps nothing of a read between its pages. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace reedchute::protocols::cassandra {

struct PagingState {
  std::uint64_t storeHash = 0;  // of the store's id in the endpoint list
  std::optional<WallTime> position;
  std::string state;  // the store's
};

std::uint64_t hashOf(std::string_view storeId);
std::string encodePagingState(const PagingState& paging);
// Nothing where it is not one that a proxy issued, whole and unchanged.
std::optional<PagingState> decodePagingState(std::string_view bytes);

}  // namespace reedchute::protocols::cassandra

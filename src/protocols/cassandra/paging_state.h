// The paging state that clients get: a store's own, bound to the store and the position that issued
// it. The front keeps nothing of a read between its pages. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace reedchute::protocols::cassandra {

struct Page {
  std::uint64_t store = 0;  // of the store's id in the list, a hash
  std::optional<WallTime> position;
  std::string state;  // the store's
};

std::uint64_t storeMark(std::string_view storeId);
std::string wrapped(const Page& p);
// Nothing where it is not one that a front issued, whole and unchanged.
std::optional<Page> unwrapped(std::string_view bytes);

}  // namespace reedchute::protocols::cassandra

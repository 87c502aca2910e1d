// Helpers for parallel arrays indexed by store, group or zone.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

namespace reedchute {

// Sets the value at `index`, growing the array if needed.
template <class Value>
void assignAt(std::vector<Value>& array, int index, Value value) {
  auto position = static_cast<std::size_t>(index);
  if (array.size() <= position) array.resize(position + 1);
  array[position] = std::move(value);
}

// Grows the array with default values until `index` exists.
template <class Value>
void ensureIndex(std::vector<Value>& array, int index) {
  if (static_cast<int>(array.size()) <= index) array.resize(index + 1);
}

}  // namespace reedchute

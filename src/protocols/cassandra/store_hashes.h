// Finds the store whose id has a given hash, as paging states name stores. No I/O, no clock.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/id_index.h"

namespace reedchute::protocols::cassandra {

class StoreHashes {
 public:
  // `storeIds` must outlive this object.
  explicit StoreHashes(const IdIndex<std::string>& storeIds) : storeIds_(storeIds) {}

  // The index of the store whose id has the hash hashOf(id), or -1. Takes constant time unless the
  // stores have changed since the last call.
  int find(std::uint64_t storeHash);

 private:
  const IdIndex<std::string>& storeIds_;
  std::unordered_map<std::uint64_t, int> indices_;
  std::uint64_t indexedChanges_ = 0;  // of `storeIds_`, when `indices_` was made
};

}  // namespace reedchute::protocols::cassandra

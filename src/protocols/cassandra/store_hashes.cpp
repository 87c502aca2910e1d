#include "protocols/cassandra/store_hashes.h"

#include "protocols/cassandra/paging_state.h"

namespace reedchute::protocols::cassandra {

int StoreHashes::find(std::uint64_t storeHash) {
  if (indexedChanges_ != storeIds_.changes()) {
    indices_.clear();
    storeIds_.forEach([this](int store) { indices_.emplace(hashOf(storeIds_.id(store)), store); });
    indexedChanges_ = storeIds_.changes();
  }
  auto entry = indices_.find(storeHash);
  return entry == indices_.end() ? -1 : entry->second;
}

}  // namespace reedchute::protocols::cassandra

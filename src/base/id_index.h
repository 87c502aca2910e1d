// Maps external ids to small dense indices, in the order in which the ids are added. Released
// indices are reused.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace reedchute {

template <class Id>
class IdIndex {
 public:
  // Returns the index of `id`, or -1.
  int find(const Id& id) const {
    auto it = map_.find(id);
    return it == map_.end() ? -1 : it->second;
  }

  // Returns the index of `id`, and assigns one if it has none.
  int add(const Id& id) {
    if (int known = find(id); known >= 0) return known;
    int index;
    if (free_.empty()) {
      index = static_cast<int>(ids_.size());
      ids_.push_back(id);
    } else {
      index = free_.back();
      free_.pop_back();
      ids_[static_cast<std::size_t>(index)] = id;
    }
    map_.emplace(id, index);
    ++changes_;
    return index;
  }

  // Removes the id of `index`, which may then be assigned to another id.
  void release(int index) {
    map_.erase(ids_[static_cast<std::size_t>(index)]);
    ids_[static_cast<std::size_t>(index)] = {};
    free_.push_back(index);
    ++changes_;
  }

  // Grows whenever an id is added or removed.
  std::uint64_t changes() const { return changes_; }
  std::size_t size() const { return map_.size(); }

  // Calls `callback` with each index in use, in ascending order.
  template <class Callback>
  void forEach(Callback callback) const {
    for (std::size_t k = 0; k < ids_.size(); ++k)
      if (find(ids_[k]) == static_cast<int>(k)) callback(static_cast<int>(k));
  }

  const Id& id(int index) const { return ids_[static_cast<std::size_t>(index)]; }

 private:
  std::unordered_map<Id, int> map_;
  std::vector<Id> ids_;
  std::vector<int> free_;
  std::uint64_t changes_ = 0;
};

}  // namespace reedchute

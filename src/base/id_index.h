// Maps ids from outside to small dense indices, in order of first sight; released indices are used
// again.
#pragma once

#include <unordered_map>
#include <vector>

namespace reedchute {

template <class Id>
class IdIndex {
 public:
  // The index of `id`, or -1.
  int find(const Id& id) const {
    auto it = map_.find(id);
    return it == map_.end() ? -1 : it->second;
  }

  int add(const Id& id) {
    if (int known = find(id); known >= 0) return known;
    int ix;
    if (free_.empty()) {
      ix = static_cast<int>(ids_.size());
      ids_.push_back(id);
    } else {
      ix = free_.back();
      free_.pop_back();
      ids_[static_cast<std::size_t>(ix)] = id;
    }
    map_.emplace(id, ix);
    return ix;
  }

  void release(int ix) {
    map_.erase(ids_[static_cast<std::size_t>(ix)]);
    ids_[static_cast<std::size_t>(ix)] = {};
    free_.push_back(ix);
  }

  std::size_t size() const { return map_.size(); }

  // Each index in use, in order.
  template <class Do>
  void each(Do act) const {
    for (std::size_t k = 0; k < ids_.size(); ++k)
      if (find(ids_[k]) == static_cast<int>(k)) act(static_cast<int>(k));
  }

  const Id& id(int ix) const { return ids_[static_cast<std::size_t>(ix)]; }

 private:
  std::unordered_map<Id, int> map_;
  std::vector<Id> ids_;
  std::vector<int> free_;
};

}  // namespace reedchute

#include "protocols/cassandra/prepared_statements.h"

#include <xxhash.h>

#include <algorithm>

namespace reedchute::protocols::cassandra {
namespace {

constexpr std::size_t kEntryBytes = 512;  // of an entry, beside its strings
constexpr double kFailureFactor = 0.5;

}  // namespace

std::string preparedId(std::string_view text) {
  XXH128_canonical_t bytes;
  XXH128_canonicalFromHash(&bytes, XXH3_128bits(text.data(), text.size()));
  return {reinterpret_cast<const char*>(bytes.digest), sizeof bytes.digest};
}

std::size_t PreparedTexts::costOf(const PreparedText& text) {
  return kEntryBytes + text.text.size() + text.resultBodies[0].size() + text.resultBodies[1].size();
}

PreparedRef PreparedTexts::find(std::string_view id) {
  auto it = byId_.find(id);
  if (it == byId_.end()) return nullptr;
  recentlyUsed_.splice(recentlyUsed_.begin(), recentlyUsed_, it->second);
  return *it->second;
}

PreparedRef PreparedTexts::insert(PreparedText text) {
  if (PreparedRef known = find(text.id)) return known;
  auto inserted = std::make_shared<PreparedText>(std::move(text));
  bytes_ += costOf(*inserted);
  recentlyUsed_.push_front(inserted);
  byId_.emplace(inserted->id, recentlyUsed_.begin());
  evictLeastRecentlyUsed(inserted);
  return inserted;
}

void PreparedTexts::updateCost(const PreparedRef& text, std::size_t costBefore) {
  auto it = byId_.find(text->id);
  if (it == byId_.end() || *it->second != text) return;  // evicted meanwhile
  bytes_ = bytes_ - costBefore + costOf(*text);
  evictLeastRecentlyUsed(text);
}

void PreparedTexts::evictLeastRecentlyUsed(const PreparedRef& except) {
  while (bytes_ > maxBytes_ && recentlyUsed_.back() != except) {
    bytes_ -= costOf(*recentlyUsed_.back());
    byId_.erase(recentlyUsed_.back()->id);
    recentlyUsed_.pop_back();
  }
}

void PreparedTexts::onSchemaChanged() {
  for (const PreparedRef& text : recentlyUsed_) {
    bytes_ -= costOf(*text);
    for (std::string& body : text->resultBodies) {
      body.clear();
      body.shrink_to_fit();
    }
    bytes_ += costOf(*text);
  }
}

const StorePreparedIds::StoreIds* StorePreparedIds::find(const std::string& id) {
  auto it = byId_.find(id);
  if (it == byId_.end()) return nullptr;
  lru_.recentlyUsed_.splice(lru_.recentlyUsed_.begin(), lru_.recentlyUsed_, it->second);
  return &it->second->storeIds;
}

void StorePreparedIds::record(const std::string& id, StoreIds storeIds) {
  forget(id);
  std::list<Entry>& entries = lru_.recentlyUsed_;
  entries.push_front({this, id, std::move(storeIds)});
  byId_.emplace(id, entries.begin());
  if (entries.size() <= lru_.maxEntries_) return;
  entries.back().owner->byId_.erase(entries.back().id);
  entries.pop_back();
}

void StorePreparedIds::forget(const std::string& id) {
  auto it = byId_.find(id);
  if (it == byId_.end()) return;
  lru_.recentlyUsed_.erase(it->second);
  byId_.erase(it);
}

void StorePreparedIds::forgetAll() {
  for (const auto& [id, entry] : byId_) lru_.recentlyUsed_.erase(entry);
  byId_.clear();
}

void PreparationLimiter::onEnded(bool isPrepared) {
  --inFlight_;
  limit_ = isPrepared ? std::min(maxLimit_, limit_ + 1) : std::max(1.0, limit_ * kFailureFactor);
}

}  // namespace reedchute::protocols::cassandra

#include "protocols/cassandra/prepared_statements.h"

#include <xxhash.h>

#include <algorithm>

namespace reedchute::protocols::cassandra {
namespace {

constexpr std::size_t kEntryBytes = 512;  // beside the entry's texts
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
  byUse_.splice(byUse_.begin(), byUse_, it->second);
  return *it->second;
}

PreparedRef PreparedTexts::insert(PreparedText text) {
  if (PreparedRef known = find(text.id)) return known;
  auto inserted = std::make_shared<PreparedText>(std::move(text));
  bytes_ += costOf(*inserted);
  byUse_.push_front(inserted);
  byId_.emplace(inserted->id, byUse_.begin());
  evictLeastRecentlyUsed(inserted);
  return inserted;
}

void PreparedTexts::onGrown(const PreparedRef& text, std::size_t costBefore) {
  auto it = byId_.find(text->id);
  if (it == byId_.end() || *it->second != text) return;  // evicted meanwhile
  bytes_ = bytes_ - costBefore + costOf(*text);
  evictLeastRecentlyUsed(text);
}

void PreparedTexts::evictLeastRecentlyUsed(const PreparedRef& except) {
  while (bytes_ > maxBytes_ && byUse_.back() != except) {
    bytes_ -= costOf(*byUse_.back());
    byId_.erase(byUse_.back()->id);
    byUse_.pop_back();
  }
}

void PreparedTexts::onSchemaChanged() {
  for (const PreparedRef& text : byUse_) {
    bytes_ -= costOf(*text);
    for (std::string& body : text->resultBodies) {
      body.clear();
      body.shrink_to_fit();
    }
    bytes_ += costOf(*text);
  }
}

const StorePrepared::StoreIds* StorePrepared::find(const std::string& id) {
  auto it = byId_.find(id);
  if (it == byId_.end()) return nullptr;
  room_.byUse_.splice(room_.byUse_.begin(), room_.byUse_, it->second);
  return &it->second->storeIds;
}

void StorePrepared::record(const std::string& id, StoreIds storeIds) {
  forget(id);
  std::list<Entry>& entries = room_.byUse_;
  entries.push_front({this, id, std::move(storeIds)});
  byId_.emplace(id, entries.begin());
  if (entries.size() <= room_.maxEntries_) return;
  entries.back().owner->byId_.erase(entries.back().id);
  entries.pop_back();
}

void StorePrepared::forget(const std::string& id) {
  auto it = byId_.find(id);
  if (it == byId_.end()) return;
  room_.byUse_.erase(it->second);
  byId_.erase(it);
}

void StorePrepared::forgetAll() {
  for (const auto& [id, entry] : byId_) room_.byUse_.erase(entry);
  byId_.clear();
}

void PreparePace::onEnded(bool isPrepared) {
  --inFlight_;
  limit_ = isPrepared ? std::min(maxLimit_, limit_ + 1) : std::max(1.0, limit_ * kFailureFactor);
}

}  // namespace reedchute::protocols::cassandra

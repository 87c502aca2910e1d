// Caches of prepared statements: the texts that clients have prepared, by the proxy's own ids, and
// the ids that each store has assigned to them. Memory is bounded: the least recently used entries
// are evicted first, and a client that uses an evicted text receives the error Unprepared and
// prepares it again. No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "codec/cql/text.h"

namespace reedchute::protocols::cassandra {

// One statement text, in the form that is sent to stores.
struct PreparedText {
  std::string id;    // sent to clients; a hash of the text, so all proxies use the same one
  std::string text;  // with keyspace-qualified names
  reedchute::cql::ParsedText read;
  // Body of the RESULT for clients, which contains `id`: one for version 4, one for version 5.
  // Empty: not yet known.
  std::array<std::string, 2> resultBodies;
};

using PreparedRef = std::shared_ptr<PreparedText>;

// The id of a text: its 128-bit hash, 16 bytes.
std::string preparedId(std::string_view text);

// LRU cache of the texts that clients have prepared.
class PreparedTexts {
 public:
  explicit PreparedTexts(std::size_t maxBytes) : maxBytes_(maxBytes) {}

  // Null if the text is unknown or was evicted. Marks it as most recently used.
  PreparedRef find(std::string_view id);
  // Adds a text, or returns the cached one with the same id. May evict other texts.
  PreparedRef insert(PreparedText text);
  // Discards the RESULT bodies, as their column descriptions may be outdated.
  void onSchemaChanged();
  std::size_t size() const { return byId_.size(); }
  std::size_t bytes() const { return bytes_; }
  // Accounts for a RESULT body that was set in `text`. `costBefore`: its costOf() before that.
  void updateCost(const PreparedRef& text, std::size_t costBefore);
  static std::size_t costOf(const PreparedText& text);  // bytes of memory

 private:
  void evictLeastRecentlyUsed(const PreparedRef& except);

  std::size_t maxBytes_, bytes_ = 0;
  std::list<PreparedRef> recentlyUsed_;  // most recently used first
  std::unordered_map<std::string_view, std::list<PreparedRef>::iterator> byId_;
};

// The texts that one store has prepared, by the proxy's ids. With hundreds of stores, a separate
// cache for each could exhaust the memory, so all of them share one SharedLru, which evicts the
// least recently used entry of any store.
class StorePreparedIds {
 public:
  // The ids that the store has assigned.
  struct StoreIds {
    std::string id, resultId;
  };

 private:
  struct Entry {
    StorePreparedIds* owner;
    std::string id;
    StoreIds storeIds;
  };

 public:
  // The entries of all stores. Must outlive the StorePreparedIds that use it.
  class SharedLru {
   public:
    explicit SharedLru(std::size_t maxBytes) : maxEntries_(maxBytes / kEntryBytes) {}
    std::size_t size() const { return recentlyUsed_.size(); }

   private:
    friend class StorePreparedIds;
    static constexpr std::size_t kEntryBytes = 336;  // with its ids of 16 bytes
    std::size_t maxEntries_;
    std::list<Entry> recentlyUsed_;  // most recently used first
  };

  explicit StorePreparedIds(SharedLru& lru) : lru_(lru) {}
  ~StorePreparedIds() { forgetAll(); }
  StorePreparedIds(const StorePreparedIds&) = delete;
  StorePreparedIds& operator=(const StorePreparedIds&) = delete;

  // Null if the store is not known to have prepared the text. Marks it as most recently used.
  const StoreIds* find(const std::string& id);
  void record(const std::string& id, StoreIds storeIds);
  void forget(const std::string& id);
  void forgetAll();
  std::size_t size() const { return byId_.size(); }

 private:
  SharedLru& lru_;
  std::unordered_map<std::string, std::list<Entry>::iterator> byId_;
};

// Limits how many texts a store prepares concurrently: the limit grows by one after each success
// and is halved after each failure. Without it, a store that has restarted and lost its prepared
// texts would have to prepare all texts in use at the same time, while it is cold.
class PreparationLimiter {
 public:
  explicit PreparationLimiter(double maxLimit) : maxLimit_(maxLimit) {}
  bool hasCapacity() const { return inFlight_ < static_cast<int>(limit_); }
  void onStarted() { ++inFlight_; }
  void onEnded(bool isPrepared);
  double limit() const { return limit_; }

 private:
  double maxLimit_, limit_ = 1;
  int inFlight_ = 0;
};

}  // namespace reedchute::protocols::cassandra

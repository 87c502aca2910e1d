// Prepared statements: what clients know by an id of the proxy's, and what each store knows by ids
// of its own. No I/O. Memory is bounded: what was least recently used goes first, and its clients
// are told to prepare it again.
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

// One text, as stores are given it.
struct PreparedText {
  std::string id;    // that clients know; the same at every proxy, as it follows from the text
  std::string text;  // with all names in full
  reedchute::cql::ParsedText read;
  // The body of RESULT that clients get, with `id` in it, by version; empty: not known yet.
  std::array<std::string, 2> resultBodies;
};

using PreparedRef = std::shared_ptr<PreparedText>;

// The id of a text: 16 bytes of a hash.
std::string preparedId(std::string_view text);

// The texts that clients have prepared.
class PreparedTexts {
 public:
  explicit PreparedTexts(std::size_t maxBytes) : maxBytes_(maxBytes) {}

  // None where it is not known, or was evicted.
  PreparedRef find(std::string_view id);
  // Adds a text, or returns the one that is known already. Others may be evicted for it.
  PreparedRef insert(PreparedText text);
  // What clients were told of columns may be wrong from now on.
  void onSchemaChanged();
  std::size_t size() const { return byId_.size(); }
  std::size_t bytes() const { return bytes_; }
  // Counts a text's size anew, as the body for its clients came. `costBefore`: its costOf() then.
  void onGrown(const PreparedRef& text, std::size_t costBefore);
  static std::size_t costOf(const PreparedText& text);  // bytes

 private:
  void evictLeastRecentlyUsed(const PreparedRef& except);

  std::size_t maxBytes_, bytes_ = 0;
  std::list<PreparedRef> byUse_;  // the most recently used one in front
  std::unordered_map<std::string_view, std::list<PreparedRef>::iterator> byId_;
};

// What one store has prepared, by the proxy's ids. With hundreds of stores, what each may have
// prepared would take all memory, so all of them share one room, in which the least recently used
// entry goes first.
class StorePrepared {
 public:
  // The ids that the store gave.
  struct StoreIds {
    std::string id, resultId;
  };

 private:
  struct Entry {
    StorePrepared* owner;
    std::string id;
    StoreIds storeIds;
  };

 public:
  class Room {
   public:
    explicit Room(std::size_t maxBytes) : maxEntries_(maxBytes / kEntryBytes) {}
    std::size_t size() const { return byUse_.size(); }

   private:
    friend class StorePrepared;
    static constexpr std::size_t kEntryBytes = 336;  // its ids of 16 bytes among them
    std::size_t maxEntries_;
    std::list<Entry> byUse_;  // the most recently used one in front
  };

  explicit StorePrepared(Room& room) : room_(room) {}
  ~StorePrepared() { forgetAll(); }
  StorePrepared(const StorePrepared&) = delete;
  StorePrepared& operator=(const StorePrepared&) = delete;

  // None where the store hasn't prepared it, as far as is known.
  const StoreIds* find(const std::string& id);
  void record(const std::string& id, StoreIds storeIds);
  void forget(const std::string& id);
  void forgetAll();
  std::size_t size() const { return byId_.size(); }

 private:
  Room& room_;
  std::unordered_map<std::string, std::list<Entry>::iterator> byId_;
};

// How many texts may be in preparation at a store at once: one more after each success, half after
// a failure. A store that comes back knows none of them, and all that are in use would be prepared
// there in one moment, while it is cold.
class PreparePace {
 public:
  explicit PreparePace(double maxLimit) : maxLimit_(maxLimit) {}
  bool mayBegin() const { return inFlight_ < static_cast<int>(limit_); }
  void onBegun() { ++inFlight_; }
  void onEnded(bool isPrepared);
  double limit() const { return limit_; }

 private:
  double maxLimit_, limit_ = 1;
  int inFlight_ = 0;
};

}  // namespace reedchute::protocols::cassandra

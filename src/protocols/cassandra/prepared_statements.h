// Prepared statements: what clients know by an id of the front's, and what each store knows by ids
// of its own. No I/O. Memory is bounded; what was used least lately goes first, and its clients are
// told to prepare it again.
#pragma once

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
  std::string id;    // that clients know; the same at every front, as it follows from the text
  std::string text;  // with all names in full
  reedchute::cql::TextRead read;
  std::string told[2];   // the body of RESULT that clients get, with `id` in it, by version; empty:
                         // not known yet
  std::string resultId;  // of version 5, as told
};

using PreparedRef = std::shared_ptr<PreparedText>;

// The id of a text: 16 bytes of a hash.
std::string preparedId(std::string_view text);

class PreparedTexts {
 public:
  explicit PreparedTexts(std::size_t mostBytes) : most_(mostBytes) {}

  PreparedRef find(std::string_view id);  // none: not known, or forgotten
  // Keeps a text; known already, it is that one. Others may be forgotten for it.
  PreparedRef keep(PreparedText text);
  // What clients were told of columns may be wrong from now on.
  void schemaChanged();
  std::size_t size() const { return byId_.size(); }
  std::size_t bytes() const { return bytes_; }
  // Counts its size anew, as what clients are told of it came.
  void grew(const PreparedRef& p, std::size_t before);
  static std::size_t costOf(const PreparedText& t);

 private:
  void evictLeastRecentlyUsed(const PreparedRef& except);

  std::size_t most_, bytes_ = 0;
  std::list<PreparedRef> byUse_;  // the one used last in front
  std::unordered_map<std::string_view, std::list<PreparedRef>::iterator> byId_;
};

// What one store has prepared, by the front's ids. Danger: with hundreds of stores, what each may
// have prepared would take all memory; all of them share one room, in which what was used least
// lately goes first.
class StorePrepared {
 public:
  struct Known {
    std::string id, resultId;
  };

 private:
  struct Place {
    StorePrepared* of;
    std::string id;
    Known known;
  };

 public:
  class Room {
   public:
    explicit Room(std::size_t mostBytes) : most_(mostBytes / kEntry) {}
    std::size_t size() const { return byUse_.size(); }

   private:
    friend class StorePrepared;
    static constexpr std::size_t kEntry = 336;  // bytes of an entry, its ids of 16 among them
    std::size_t most_;
    std::list<Place> byUse_;
  };

  explicit StorePrepared(Room& room) : room_(room) {}
  ~StorePrepared() { forgetAll(); }
  StorePrepared(const StorePrepared&) = delete;
  StorePrepared& operator=(const StorePrepared&) = delete;

  const Known* find(const std::string& id);
  void learn(const std::string& id, Known known);
  void forget(const std::string& id);
  void forgetAll();
  std::size_t size() const { return byId_.size(); }

 private:
  Room& room_;
  std::unordered_map<std::string, std::list<Place>::iterator> byId_;
};

// How many texts may be in preparation at a store at once. Danger: a store that comes back knows
// none of them, and all that are in use would be prepared there in one moment, while it is cold.
class PreparePace {
 public:
  // `most`: that may ever be; grown to by one, cut by half.
  explicit PreparePace(double most) : most_(most) {}
  bool mayBegin() const { return out_ < static_cast<int>(limit_); }
  void begins() { ++out_; }
  void ends(bool well);
  double limit() const { return limit_; }

 private:
  double most_, limit_ = 1;
  int out_ = 0;
};

}  // namespace reedchute::protocols::cassandra

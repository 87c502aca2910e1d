// What a front saw itself of each zone's stores lately, as small counts: what fronts tell each
// other, and all that a verdict rests on.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace reedchute::zones {

// How a front stands to a zone: it uses it, it wonders, it sends it less or nothing, or ever more
// again.
enum class Stage { whole, doubted, left, returning };
const char* nameOf(Stage s);

// Of one zone, within the span that a front looks back.
struct ZoneSight {
  int answers = 0, late = 0;      // answers, and those of them that took too long
  int failed = 0;                 // no connection, no answer, broken connections
  int vain = 0;                   // tries in vain since any store of the zone has answered
  int well = 0, ill = 0;          // stores: by the last that was seen of each
  int groupsIll = 0, groups = 0;  // groups with an ill store, and those seen at all
  Stage stage = Stage::whole;
  Duration inStage{};  // for so long already
  double share = 1;    // of the usual traffic that it sends there
  int tries = 0;       // returns that went wrong since the zone last stood
};

struct Sight {
  std::string zone;       // where the front stands itself
  bool doubtful = false;  // its own word: it was paused, or can't keep up
  double rate = 0;        // statements a second
  double room = 1;        // part of what it might send that it doesn't
  std::map<std::string, ZoneSight> zones;
};

// A sight with its age: one's own, or another front's.
struct Told {
  Sight sight;
  Duration age;
};

std::string toBytes(const Sight& s);
// False where it can't be read, or counts or spans make no sense: then nothing of it counts.
bool fromBytes(const std::string& bytes, Sight& into);

// The observations of one front.
class Watch {
 public:
  enum class Seen { answer, late, failed };

  explicit Watch(Duration back) : back_(back) {}
  // A store that the list names; `group` and zone may change. It is forgotten with its zone empty.
  void store(int store, const std::string& zone, int group);
  void saw(int store, Seen seen, TimePoint now);
  // The counts of each zone that the list names stores in.
  std::map<std::string, ZoneSight> counts(TimePoint now);
  int storesIn(const std::string& zone) const;

 private:
  // Counts of a span are kept by parts of it, so that what is old goes.
  static constexpr int kParts = 4;
  struct Part {
    std::int64_t number = -1;
    int answers = 0, late = 0, failed = 0;
  };
  struct Store {
    std::string zone;
    int group = -1;
    bool ill = false;
    TimePoint seen = kNever;
    Part parts[kParts];
  };

  Duration back_;
  std::vector<Store> stores_;
  std::map<std::string, int> vain_;
};

}  // namespace reedchute::zones

// Which zones the fronts use, and how much: each front decides alone, by the same function of what
// many fronts have seen. Without I/O and clock. docs/zones.md tells what else was weighed, and what
// differing views can cost.
//
// Nothing here is a route: the verdict is a share by zone, one more factor in a replica's weight.
// Counts of others say what a zone is worth trying; never that a replica is fresh or that a
// statement didn't run.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "zones/sight.h"

namespace reedchute::zones {

// What operators allow.
struct Leaving {
  int atOnce = 1;             // zones that may be left at once
  Duration back{2'000'000};   // how far fronts look back, and how old a sight may be
  Duration confirm{300'000};  // that a verdict must hold before it is acted on
  Duration stood{2'000'000};  // that a zone must answer before it is taken back; doubles with each
                              // return gone wrong
  Duration longest{120'000'000};  // and is no longer than that
  Duration ramp{8'000'000};       // from the first share of a returning zone to the whole
  Duration steady{60'000'000};    // that a zone must stand before its former falls are forgotten
  int probers = 3;                // fronts that probe a left zone at a time
};

enum class Cause { none, gone, cutOff, grey, commanded, followed, recovered, relapsed };
const char* nameOf(Cause c);

// An operator's word on a zone. The higher generation counts; of two with the same one, the more
// careful.
enum class Order { none, back, leave, hold };
const char* nameOf(Order o);
struct Command {
  Order order = Order::none;
  std::uint64_t generation = 0;
  std::string by;
  Duration age;  // since it was given
};
// Does `a` count before `b`?
bool before(const Command& a, const Command& b);

// Of one zone, for the module and the log.
struct ZoneState {
  Stage stage = Stage::whole;
  Cause cause = Cause::none;
  double share = 1;          // of the usual traffic
  bool probes = true;        // may this front probe its stores now, where it has found them away?
  TimePoint since = kNever;  // in this stage
  int tries = 0;
  // The counts behind the last verdict: fronts that could tell, by what they told.
  int gone = 0, grey = 0, fine = 0;
  Command command;
};

struct ZoneChange {
  std::string zone;
  ZoneState now;
  Stage was = Stage::whole;
};

// One round's facts.
struct Views {
  std::size_t live = 1;      // fronts
  std::size_t liveHere = 1;  // of them, those in this front's zone
  bool alone = true;         // no other front is heard
  bool doubtful = false;     // this front doubts itself
  const Sight* own = nullptr;
  std::vector<const Told*> others;
  std::map<std::string, int> stores;  // by zone, as the list has them
};

class Zones {
 public:
  Zones(Leaving rules, std::string name, std::string ownZone);

  void decide(const Views& v, TimePoint now);
  // False where it is older than what is known, or would leave the last zone; `why` says so.
  bool command(const std::string& zone, Command c, std::string& why);
  const std::map<std::string, ZoneState>& all() const { return zones_; }
  const ZoneState* find(const std::string& zone) const;
  std::vector<ZoneChange> takeChanges() { return std::exchange(changes_, {}); }
  // The stages and shares, to be told with what was seen.
  void tellInto(Sight& own, TimePoint now) const;

 private:
  enum class Opinion { blind, fine, gone, grey };
  struct Votes {
    double gone = 0, grey = 0, fine = 0;  // weighed by what was seen
    int goneFronts = 0, greyFronts = 0, fineFronts = 0;
    int left = 0, returning = 0, used = 0;  // stages of those that told, of the voters' zone
    std::vector<int> tries;
    int all() const { return goneFronts + greyFronts + fineFronts; }
  };
  struct Held {
    TimePoint suspectedAt = kNever;  // since when the verdict holds without a break
    TimePoint answersAt = kNever;    // since when a left zone has answered without a break
    TimePoint wholeAt = kNever;
  };

  static Opinion opinionOf(const Sight& s, const std::string& zone);
  Votes votesOn(const std::string& zone, const Views& v) const;
  int quorum(const Views& v) const;
  double bearable(const std::string& zone, const Views& v) const;
  bool mayLeave(const std::string& zone) const;
  void enter(const std::string& zone, Stage stage, Cause cause, double share, TimePoint now);
  Duration hold(int tries) const;
  bool turn(const std::string& zone, std::size_t live, TimePoint now) const;
  void decideOne(const std::string& zone, Votes votes, const Views& v, TimePoint now);

  Leaving rules_;
  std::string name_, ownZone_;
  std::map<std::string, ZoneState> zones_;
  std::map<std::string, Held> held_;
  std::vector<ZoneChange> changes_;
};

}  // namespace reedchute::zones

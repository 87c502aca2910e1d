// Decides which period an entry belongs to, and when a period is closing or sealed. No I/O; told
// two clocks.
//
// The rule: a statement belongs to the period in which its final answer is given, by the ledger's
// own time. That time never goes back, and follows the steady clock where the other one jumps, so
// neither a clock that is set nor a crash moves an entry to another period.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"

namespace reedchute::ledger {

enum class Every { hour, day, month };

// A period by when it begins, in seconds of Unix time; months are those of UTC.
struct Period {
  std::int64_t beginsS = 0;
  auto operator<=>(const Period&) const = default;
};

Period periodAt(Every every, TimePoint at);
TimePoint beginningOf(Period p);
TimePoint endOf(Every every, Period p);

enum class PeriodPhase { open, closing, sealed };

class Periods {
 public:
  struct Told {
    TimePoint wall;
    Duration steady;  // since any fixed moment of this process
  };
  struct Moment {
    TimePoint at;  // the ledger's time
    Period period;
    bool jumped = false;  // the wall clock left the steady one since the last moment
    Duration jump;
  };

  // `tolerance`: by which clocks may differ at a look; `grace`: between a period's end and its
  // seal.
  Periods(Every every, Duration tolerance, Duration grace)
      : every_(every), tolerance_(tolerance), grace_(grace) {}

  // After a restart: the newest record's time, and the periods that have entries and no seal.
  void resume(TimePoint newest, const std::vector<Period>& unsealed);

  Moment now(const Told& t);
  // An entry was put into it.
  void entered(Period p);
  // The one that is due to be sealed at this moment, the oldest first.
  std::optional<Period> due(TimePoint at) const;
  void sealed(Period p);
  PeriodPhase phaseOf(Period p, TimePoint at) const;
  // The wall clock is right as it is, says an operator: the ledger's time goes on from there, if it
  // lies ahead.
  void trust(const Told& t);

 private:
  Every every_;
  Duration tolerance_, grace_;
  TimePoint newest_ = kNever;
  bool anchored_ = false;
  TimePoint wallThen_;
  Duration steadyThen_;
  Duration offset_;  // of the ledger's time to the steady clock
  bool away_ = false;
  std::vector<Period> unsealed_;  // in order
  Period lastSealed_{INT64_MIN};
};

}  // namespace reedchute::ledger

// Decides which billing period an entry belongs to, and when a period is sealed. No I/O; it is
// given readings of two clocks.
//
// A statement belongs to the period in which its final answer is given, by the ledger's own time.
// That time never goes back, and follows the steady clock where the wall clock jumps, so neither a
// clock that is set nor a crash moves an entry to another period.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"

namespace reedchute::ledger {

enum class PeriodLength { hour, day, month };

// A period by its beginning, in seconds of Unix time; months are those of UTC.
struct Period {
  std::int64_t beginsS = 0;
  auto operator<=>(const Period&) const = default;
};

Period periodAt(PeriodLength length, TimePoint at);
TimePoint beginningOf(Period period);
TimePoint endOf(PeriodLength length, Period period);

// `closing`: it is over and not sealed yet.
enum class PeriodPhase { open, closing, sealed };

struct ClockReading {
  TimePoint wall;
  Duration steady;  // since any fixed moment of this process
};

class BillingPeriods {
 public:
  struct Moment {
    TimePoint at;  // the ledger's time
    Period period;
    bool hasJumped = false;  // the wall clock, against the steady one, since the last moment
    Duration jump;
  };

  // `tolerance`: by which the clocks may differ from one reading to the next. `grace`: between a
  // period's end and its seal.
  BillingPeriods(PeriodLength length, Duration tolerance, Duration grace)
      : length_(length), tolerance_(tolerance), grace_(grace) {}

  // After a restart: the newest record's time, and the periods that have entries and no seal.
  void resume(TimePoint newest, const std::vector<Period>& unsealed);

  Moment now(const ClockReading& reading);
  void onEntry(Period period);
  void onSealed(Period period);
  // The oldest period that is due to be sealed at this moment.
  std::optional<Period> dueForSeal(TimePoint at) const;
  PeriodPhase phaseOf(Period period, TimePoint at) const;
  // An operator confirms the wall clock: the ledger's time goes on from there, if it lies ahead.
  void trustWallClock(const ClockReading& reading);

 private:
  // The wall clock's lead on the steady one.
  static Duration offsetOf(const ClockReading& reading);
  bool isWithinTolerance(Duration difference) const;
  void followClocks(const ClockReading& reading, Moment& moment);

  PeriodLength length_;
  Duration tolerance_;
  Duration grace_;
  TimePoint newest_ = kNever;
  bool hasReading_ = false;
  ClockReading lastReading_;
  Duration offset_;                // of the ledger's time to the steady clock
  bool ignoresWallClock_ = false;  // it jumped, and was neither set back nor confirmed
  std::vector<Period> unsealed_;   // in order
  Period lastSealed_{INT64_MIN};
};

}  // namespace reedchute::ledger

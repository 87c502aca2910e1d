// Decides which billing period an entry belongs to, and when a period is sealed. Performs no I/O;
// the caller passes readings of the wall clock and the steady clock.
//
// A statement belongs to the period in which its final answer is given, by the ledger's own time.
// That time never decreases, and follows the steady clock when the wall clock jumps, so neither
// setting the wall clock nor a crash moves an entry to another period.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"

namespace reedchute::ledger {

enum class PeriodLength { hour, day, month };

// A billing period, identified by its beginning in seconds of Unix time. Months are those of UTC.
struct Period {
  std::int64_t beginsS = 0;
  auto operator<=>(const Period&) const = default;
};

Period periodAt(PeriodLength length, TimePoint at);
TimePoint beginningOf(Period period);
TimePoint endOf(PeriodLength length, Period period);

// `closing`: the period has ended and isn't sealed yet.
enum class PeriodPhase { open, closing, sealed };

struct ClockReading {
  TimePoint wall;
  Duration steady;  // since an arbitrary fixed time of this process
};

class BillingPeriods {
 public:
  struct Moment {
    TimePoint at;  // the ledger's time
    Period period;
    // Whether the wall clock jumped against the steady clock since the last reading, and by how
    // much; negative if it was set back.
    bool hasJumped = false;
    Duration jump;
  };

  // `tolerance`: the largest difference between the two clocks' progress from one reading to the
  // next that isn't a jump. `grace`: the time between a period's end and its seal.
  BillingPeriods(PeriodLength length, Duration tolerance, Duration grace)
      : length_(length), tolerance_(tolerance), grace_(grace) {}

  // Restores the state after a restart: `newest` is the time of the newest record, `unsealed` are
  // the periods that have entries and no seal.
  void resume(TimePoint newest, const std::vector<Period>& unsealed);

  // Advances the ledger's time, and returns it with its period.
  Moment now(const ClockReading& reading);
  void onEntry(Period period);
  void onSealed(Period period);
  // Returns the oldest period that is due to be sealed at `at`, if any.
  std::optional<Period> nextPeriodToSeal(TimePoint at) const;
  PeriodPhase phaseOf(Period period, TimePoint at) const;
  // Follows the wall clock again after an operator confirmed it. If the wall clock is behind the
  // ledger's time, the ledger's time doesn't change until the wall clock reaches it.
  void trustWallClock(const ClockReading& reading);

 private:
  // The wall clock's reading minus the steady clock's.
  static Duration wallClockOffset(const ClockReading& reading);
  bool isWithinTolerance(Duration difference) const;
  void updateOffset(const ClockReading& reading, Moment& moment);

  PeriodLength length_;
  Duration tolerance_;
  Duration grace_;
  TimePoint newest_ = kNever;
  bool hasReading_ = false;
  ClockReading lastReading_;
  Duration offset_;                // of the ledger's time from the steady clock
  bool ignoresWallClock_ = false;  // after a jump, until it is set back or confirmed
  std::vector<Period> unsealed_;   // ascending
  Period lastSealed_{INT64_MIN};
};

}  // namespace reedchute::ledger

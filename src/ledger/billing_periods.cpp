#include "ledger/billing_periods.h"

#include <algorithm>
#include <chrono>

namespace reedchute::ledger {
namespace {

constexpr std::int64_t kHour = 3600;   // seconds
constexpr std::int64_t kDay = 86'400;  // seconds
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

std::int64_t roundDown(std::int64_t value, std::int64_t step) {
  return value - ((value % step) + step) % step;
}

std::chrono::year_month monthOf(std::int64_t seconds) {
  std::chrono::days days{roundDown(seconds, kDay) / kDay};
  std::chrono::year_month_day date{std::chrono::sys_days{days}};
  return date.year() / date.month();
}

std::int64_t firstSecondOf(std::chrono::year_month month) {
  return std::chrono::sys_days{month / std::chrono::day{1}}.time_since_epoch().count() * kDay;
}

}  // namespace

Period periodAt(PeriodLength length, TimePoint at) {
  std::int64_t seconds = roundDown(at.us, kMicrosecondsPerSecond) / kMicrosecondsPerSecond;
  switch (length) {
    case PeriodLength::hour:
      return {roundDown(seconds, kHour)};
    case PeriodLength::day:
      return {roundDown(seconds, kDay)};
    default:
      return {firstSecondOf(monthOf(seconds))};
  }
}

TimePoint beginningOf(Period period) {
  return TimePoint{period.beginsS * kMicrosecondsPerSecond};
}

TimePoint endOf(PeriodLength length, Period period) {
  switch (length) {
    case PeriodLength::hour:
      return beginningOf({period.beginsS + kHour});
    case PeriodLength::day:
      return beginningOf({period.beginsS + kDay});
    default:
      return beginningOf({firstSecondOf(monthOf(period.beginsS) + std::chrono::months{1})});
  }
}

Duration BillingPeriods::wallClockOffset(const ClockReading& reading) {
  return (reading.wall - TimePoint{}) - reading.steady;
}

bool BillingPeriods::isWithinTolerance(Duration difference) const {
  return difference <= tolerance_ && difference >= Duration{} - tolerance_;
}

void BillingPeriods::resume(TimePoint newest, const std::vector<Period>& unsealed) {
  newest_ = newest;
  unsealed_ = unsealed;
  std::sort(unsealed_.begin(), unsealed_.end());
}

// If a wall clock that was set a month ahead by mistake were followed, that month would be opened
// and receive all entries until the actual time reaches it. So after a jump the ledger's time
// advances with the steady clock until the wall clock is set back or an operator confirms it.
// Gradual adjustments of the wall clock are followed.
void BillingPeriods::updateOffset(const ClockReading& reading, Moment& moment) {
  Duration wallElapsed = reading.wall - lastReading_.wall;
  Duration steadyElapsed = reading.steady - lastReading_.steady;
  Duration difference = wallElapsed - steadyElapsed;
  if (!isWithinTolerance(difference)) {
    moment.hasJumped = true;
    moment.jump = difference;
    ignoresWallClock_ = true;
  }
  if (ignoresWallClock_ && isWithinTolerance(wallClockOffset(reading) - offset_))
    ignoresWallClock_ = false;
  if (!ignoresWallClock_) offset_ = wallClockOffset(reading);
}

BillingPeriods::Moment BillingPeriods::now(const ClockReading& reading) {
  Moment moment;
  if (hasReading_)
    updateOffset(reading, moment);
  else
    offset_ = wallClockOffset(reading);
  hasReading_ = true;
  lastReading_ = reading;
  newest_ = std::max(newest_, TimePoint{} + offset_ + reading.steady);
  // An entry in a sealed period would change a total that was already billed.
  if (periodAt(length_, newest_) <= lastSealed_) newest_ = endOf(length_, lastSealed_);
  moment.at = newest_;
  moment.period = periodAt(length_, newest_);
  return moment;
}

void BillingPeriods::trustWallClock(const ClockReading& reading) {
  ignoresWallClock_ = false;
  offset_ = wallClockOffset(reading);
  lastReading_ = reading;
}

void BillingPeriods::onEntry(Period period) {
  auto position = std::lower_bound(unsealed_.begin(), unsealed_.end(), period);
  if (position == unsealed_.end() || *position != period) unsealed_.insert(position, period);
}

void BillingPeriods::onSealed(Period period) {
  std::erase(unsealed_, period);
  lastSealed_ = std::max(lastSealed_, period);
}

std::optional<Period> BillingPeriods::nextPeriodToSeal(TimePoint at) const {
  if (unsealed_.empty()) return std::nullopt;
  Period oldest = unsealed_.front();
  if (endOf(length_, oldest) + grace_ > at) return std::nullopt;
  return oldest;
}

PeriodPhase BillingPeriods::phaseOf(Period period, TimePoint at) const {
  if (period <= lastSealed_) return PeriodPhase::sealed;
  return endOf(length_, period) > at ? PeriodPhase::open : PeriodPhase::closing;
}

}  // namespace reedchute::ledger

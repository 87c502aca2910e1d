#include "ledger/periods.h"

#include <algorithm>
#include <chrono>

namespace reedchute::ledger {
namespace {

constexpr std::int64_t kHour = 3600, kDay = 86'400;

std::int64_t floorTo(std::int64_t s, std::int64_t step) {
  return s - ((s % step) + step) % step;
}

std::chrono::year_month monthOf(std::int64_t s) {
  std::chrono::year_month_day d{std::chrono::sys_days{std::chrono::days{floorTo(s, kDay) / kDay}}};
  return d.year() / d.month();
}

std::int64_t firstSecond(std::chrono::year_month m) {
  return std::chrono::sys_days{m / std::chrono::day{1}}.time_since_epoch().count() * kDay;
}

}  // namespace

Period periodAt(Every every, TimePoint at) {
  std::int64_t s = floorTo(at.us, 1'000'000) / 1'000'000;
  switch (every) {
    case Every::hour:
      return {floorTo(s, kHour)};
    case Every::day:
      return {floorTo(s, kDay)};
    default:
      return {firstSecond(monthOf(s))};
  }
}

TimePoint beginningOf(Period p) {
  return TimePoint{p.beginsS * 1'000'000};
}

TimePoint endOf(Every every, Period p) {
  switch (every) {
    case Every::hour:
      return beginningOf({p.beginsS + kHour});
    case Every::day:
      return beginningOf({p.beginsS + kDay});
    default:
      return beginningOf({firstSecond(monthOf(p.beginsS) + std::chrono::months{1})});
  }
}

void Periods::resume(TimePoint newest, const std::vector<Period>& unsealed) {
  newest_ = newest;
  unsealed_ = unsealed;
  std::sort(unsealed_.begin(), unsealed_.end());
}

Periods::Moment Periods::now(const Told& t) {
  Moment m;
  if (!anchored_) {
    anchored_ = true;
    offset_ = (t.wall - TimePoint{}) - t.steady;
  } else {
    Duration wallWent = t.wall - wallThen_, steadyWent = t.steady - steadyThen_,
             differ = wallWent - steadyWent;
    // Danger: a clock set a month ahead by mistake would open that month, and all entries would go
    // there until the world has caught up. The ledger goes on by the steady clock until it is told
    // to trust the other.
    if (differ > tolerance_ || differ < Duration{} - tolerance_)
      m.jumped = true, m.jump = differ, away_ = true;
    Duration apart = (t.wall - TimePoint{}) - t.steady - offset_;
    if (away_ && apart <= tolerance_ && apart >= Duration{} - tolerance_)
      away_ = false;  // it was set back
    // A clock that is drawn slowly is followed.
    if (!away_) offset_ = (t.wall - TimePoint{}) - t.steady;
  }
  wallThen_ = t.wall, steadyThen_ = t.steady;
  newest_ = std::max(newest_, TimePoint{} + offset_ + t.steady);
  m.at = newest_;
  m.period = periodAt(every_, newest_);
  // Danger: an entry in a sealed period would change a figure that was billed.
  if (m.period <= lastSealed_) {
    m.at = newest_ = endOf(every_, lastSealed_);
    m.period = periodAt(every_, newest_);
  }
  return m;
}

void Periods::trust(const Told& t) {
  away_ = false;
  offset_ = (t.wall - TimePoint{}) - t.steady;
  wallThen_ = t.wall, steadyThen_ = t.steady;
}

void Periods::entered(Period p) {
  auto it = std::lower_bound(unsealed_.begin(), unsealed_.end(), p);
  if (it == unsealed_.end() || *it != p) unsealed_.insert(it, p);
}

std::optional<Period> Periods::due(TimePoint at) const {
  if (unsealed_.empty() || endOf(every_, unsealed_.front()) + grace_ > at) return std::nullopt;
  return unsealed_.front();
}

void Periods::sealed(Period p) {
  std::erase(unsealed_, p);
  lastSealed_ = std::max(lastSealed_, p);
}

PeriodPhase Periods::phaseOf(Period p, TimePoint at) const {
  if (p <= lastSealed_) return PeriodPhase::sealed;
  return endOf(every_, p) > at ? PeriodPhase::open : PeriodPhase::closing;
}

}  // namespace reedchute::ledger

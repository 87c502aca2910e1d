#include "zones/zone_report.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

#include "zones/zones.pb.h"

namespace reedchute::zones {
namespace {

constexpr int kMaxZones = 16;  // per report
constexpr std::size_t kMaxNameBytes = 64;
constexpr double kFractionScale = 255;  // encoding of 1.0 on the wire
constexpr double kMaxRate = 1e8;        // statements per second

std::uint32_t encodeCount(int count) {
  return static_cast<std::uint32_t>(std::clamp(count, 0, kMaxCount));
}

std::uint32_t encodeFraction(double fraction) {
  return static_cast<std::uint32_t>(std::clamp(fraction, 0.0, 1.0) * kFractionScale + 0.5);
}

std::uint32_t encodeRate(double perSecond) {
  return static_cast<std::uint32_t>(std::clamp(perSecond, 0.0, kMaxRate) * 10 + 0.5);
}

std::uint32_t encodeMilliseconds(Duration duration) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration.us / 1000, 0, INT32_MAX));
}

void encode(const std::string& name, const ZoneCounters& counters, wire::ZoneCounters& to) {
  to.set_name(name);
  to.set_answers(encodeCount(counters.answers));
  to.set_late(encodeCount(counters.late));
  to.set_failed(encodeCount(counters.failed));
  to.set_consecutive_failures(encodeCount(counters.consecutiveFailures));
  to.set_healthy(encodeCount(counters.healthy));
  to.set_unhealthy(encodeCount(counters.unhealthy));
  to.set_unhealthy_groups(encodeCount(counters.unhealthyGroups));
  to.set_groups(encodeCount(counters.groups));
  to.set_status(static_cast<std::uint32_t>(counters.status));
  to.set_share(encodeFraction(counters.share));
  to.set_failed_recoveries(encodeCount(counters.failedRecoveries));
  to.set_in_status_ms(encodeMilliseconds(counters.timeInStatus));
}

bool isValidName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameBytes;
}

bool hasConsistentCounts(const wire::ZoneCounters& from) {
  for (std::uint32_t count : {from.answers(), from.late(), from.failed(), from.healthy(),
                              from.unhealthy(), from.unhealthy_groups(), from.groups(),
                              from.failed_recoveries(), from.consecutive_failures()})
    if (count > kMaxCount) return false;
  return from.late() <= from.answers() && from.unhealthy_groups() <= from.groups();
}

std::optional<ZoneCounters> decode(const wire::ZoneCounters& from) {
  constexpr auto kLastStatus = static_cast<std::uint32_t>(ZoneStatus::recovering);
  if (!isValidName(from.name()) || from.status() > kLastStatus || from.share() > kFractionScale)
    return std::nullopt;
  if (!hasConsistentCounts(from)) return std::nullopt;
  return ZoneCounters{.answers = static_cast<int>(from.answers()),
                      .late = static_cast<int>(from.late()),
                      .failed = static_cast<int>(from.failed()),
                      .consecutiveFailures = static_cast<int>(from.consecutive_failures()),
                      .healthy = static_cast<int>(from.healthy()),
                      .unhealthy = static_cast<int>(from.unhealthy()),
                      .unhealthyGroups = static_cast<int>(from.unhealthy_groups()),
                      .groups = static_cast<int>(from.groups()),
                      .status = static_cast<ZoneStatus>(from.status()),
                      .timeInStatus = Duration{std::int64_t{from.in_status_ms()} * 1000},
                      .share = from.share() / kFractionScale,
                      .failedRecoveries = static_cast<int>(from.failed_recoveries())};
}

}  // namespace

const char* nameOf(ZoneStatus status) {
  switch (status) {
    case ZoneStatus::active:
      return "whole";
    case ZoneStatus::suspect:
      return "doubted";
    case ZoneStatus::evacuated:
      return "left";
    default:
      return "returning";
  }
}

std::string encodeReport(const ZoneReport& report) {
  wire::ZoneReport to;
  to.set_zone(report.zone);
  to.set_is_degraded(report.isDegraded);
  to.set_rate_tenths(encodeRate(report.statementsPerSecond));
  to.set_headroom(encodeFraction(report.headroom));
  for (const auto& [name, counters] : report.zones) encode(name, counters, *to.add_zones());
  return to.SerializeAsString();
}

bool decodeReport(const std::string& bytes, ZoneReport& into) {
  wire::ZoneReport from;
  if (!from.ParseFromString(bytes)) return false;
  if (from.zones_size() > kMaxZones || from.zone().size() > kMaxNameBytes) return false;
  ZoneReport report;
  report.zone = from.zone();
  report.isDegraded = from.is_degraded();
  report.statementsPerSecond = from.rate_tenths() / 10.0;
  report.headroom = std::min<double>(from.headroom(), kFractionScale) / kFractionScale;
  for (const wire::ZoneCounters& zone : from.zones()) {
    std::optional<ZoneCounters> counters = decode(zone);
    if (!counters) return false;
    bool isFirst = report.zones.emplace(zone.name(), *counters).second;
    if (!isFirst) return false;
  }
  into = std::move(report);
  return true;
}

}  // namespace reedchute::zones

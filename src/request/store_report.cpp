#include "request/store_report.h"

#include <cmath>
#include <cstdint>

#include "base/parse_number.h"

namespace reedchute::request {
namespace {

constexpr double kMaxReportedNumber = 1e12;  // positions are seconds of Unix time

// Returns nullopt if `text` is not a finite number or is out of range.
std::optional<double> parseReportedNumber(std::string_view text) {
  std::optional<double> value = parseNumber<double>(text);
  if (!value || !(std::abs(*value) < kMaxReportedNumber)) return std::nullopt;
  return value;
}

}  // namespace

StoreReport parseStoreReport(std::string_view text, WallTime newest) {
  StoreReport report;
  while (!text.empty()) {
    std::size_t comma = text.find(',');
    std::string_view pair = text.substr(0, comma);
    text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    std::string_view name = pair.substr(0, equals);
    std::optional<double> value = parseReportedNumber(pair.substr(equals + 1));
    if (!value) continue;
    // A store that has no position yet reports 0. Treating that as a position would hide the
    // primary.
    if (name == "x0" && *value > 0)
      report.position = WallTime{static_cast<std::int64_t>(*value * 1e6)};
    // A position ahead of the clock would mask all later ones and make stale reads look fresh.
    if (report.position && *report.position > newest) return {};
    if (name == "x1") report.isPrimary = *value > 0.5;
  }
  return report;
}

Role parseStoreRole(std::string_view word) {
  if (word == "writer") return Role::primary;
  if (word == "reader") return Role::replica;
  return Role::unknown;
}

std::optional<WallTime> parseStorePosition(std::string_view text, WallTime newest) {
  std::optional<double> ms = parseNumber<double>(text);
  if (!ms || !(*ms > 0) || !(*ms * 1000 <= static_cast<double>(newest.us))) return std::nullopt;
  return WallTime{static_cast<std::int64_t>(*ms * 1000)};
}

}  // namespace reedchute::request

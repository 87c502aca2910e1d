#include "request/store_report.h"

#include <cmath>

#include "base/parse_number.h"

namespace reedchute::request {
namespace {

constexpr double kMostNumber = 1e12;  // of a report's figures; positions are seconds

}  // namespace

StoreReport readReport(std::string_view text, WallTime newest) {
  StoreReport report;
  while (!text.empty()) {
    std::size_t comma = text.find(',');
    std::string_view pair = text.substr(0, comma);
    text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    std::optional<double> value = parseNumber<double>(pair.substr(equals + 1));
    if (!value || !(std::abs(*value) < kMostNumber))
      continue;  // nor infinity, nor what is no number
    // Danger: a store that has no position yet says 0, and no primary; taken for a report it would
    // hide the one.
    if (pair.substr(0, equals) == "x0" && *value > 0)
      report.position = WallTime{static_cast<std::int64_t>(*value * 1e6)};
    // Danger: a position ahead of the clock would hide every later one, and make stale reads look
    // fresh.
    if (report.position && *report.position > newest) return {};
    if (pair.substr(0, equals) == "x1") report.primary = *value > 0.5;
  }
  return report;
}

Role readRole(std::string_view word) {
  return word == "writer" ? Role::primary : word == "reader" ? Role::replica : Role::unknown;
}

std::optional<WallTime> readPosition(std::string_view text, WallTime newest) {
  auto ms = parseNumber<double>(text);
  if (!ms || !(*ms > 0) || !(*ms * 1000 <= static_cast<double>(newest.us))) return std::nullopt;
  return WallTime{static_cast<std::int64_t>(*ms * 1000)};
}

}  // namespace reedchute::request

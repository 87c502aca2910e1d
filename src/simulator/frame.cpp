#include "simulator/frame.h"

namespace reedchute::simulator {

void WireLine::parse(std::string_view text) {
  fields_.clear();
  for (;;) {
    std::size_t tab = text.find('\t');
    fields_.push_back(text.substr(0, tab));
    if (tab == std::string_view::npos) return;
    text.remove_prefix(tab + 1);
  }
}

void WireLine::expectFields(std::size_t count) const {
  if (fieldCount() != count)
    throw InvalidInput(std::string(name()) + " takes " + std::to_string(count) + " values, not " +
                       std::to_string(fieldCount()));
}

std::string WireLine::text(std::size_t field, const char* what) const {
  if (fields_[field].empty() || isAbsent(field)) badValue(what, fields_[field]);
  return std::string(fields_[field]);
}

std::int64_t WireLine::integer(std::size_t field, const char* what, std::int64_t min,
                               std::int64_t max) const {
  auto value = integerFrom<std::int64_t>(fields_[field], what);
  if (value < min || value > max) badValue(what, fields_[field]);
  return value;
}

std::optional<std::int64_t> WireLine::optionalInteger(std::size_t field, const char* what) const {
  if (isAbsent(field)) return std::nullopt;
  return integer(field, what);
}

std::optional<double> WireLine::optionalNumber(std::size_t field, const char* what) const {
  if (isAbsent(field)) return std::nullopt;
  return numberFrom(fields_[field], what);
}

std::uint64_t WireLine::unsigned64(std::size_t field, const char* what) const {
  return integerFrom<std::uint64_t>(fields_[field], what);
}

std::uint64_t WireLine::hex(std::size_t field, const char* what) const {
  if (isAbsent(field)) return 0;
  return integerFrom<std::uint64_t>(fields_[field], what, 16);
}

bool WireLine::boolean(std::size_t field, const char* what) const {
  return integer(field, what, 0, 1) == 1;
}

std::vector<std::pair<std::string_view, double>> WireLine::namedNumbers(std::size_t field,
                                                                        const char* what) const {
  std::vector<std::pair<std::string_view, double>> values;
  std::string_view text = fields_[field];
  if (isAbsent(field) || text.empty()) return values;
  for (;;) {
    std::size_t comma = text.find(',');
    std::string_view pair = text.substr(0, comma);
    std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos || colon == 0) badValue(what, pair);
    values.emplace_back(pair.substr(0, colon), numberFrom(pair.substr(colon + 1), what));
    if (comma == std::string_view::npos) return values;
    text.remove_prefix(comma + 1);
  }
}

}  // namespace reedchute::simulator

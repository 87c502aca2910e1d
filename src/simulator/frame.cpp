#include "simulator/frame.h"

namespace reedchute::simulator {

void Line::split(std::string_view text) {
  fields_.clear();
  for (;;) {
    std::size_t tab = text.find('\t');
    fields_.push_back(text.substr(0, tab));
    if (tab == std::string_view::npos) return;
    text.remove_prefix(tab + 1);
  }
}

void Line::expect(std::size_t count) const {
  if (fields() != count)
    throw InvalidInput(std::string(name()) + " takes " + std::to_string(count) + " values, not " +
                       std::to_string(fields()));
}

std::string Line::text(std::size_t k, const char* what) const {
  if (fields_[k].empty() || absent(k)) badValue(what, fields_[k]);
  return std::string(fields_[k]);
}

std::int64_t Line::integer(std::size_t k, const char* what, std::int64_t low,
                           std::int64_t high) const {
  auto value = integerFrom<std::int64_t>(fields_[k], what);
  if (value < low || value > high) badValue(what, fields_[k]);
  return value;
}

std::optional<std::int64_t> Line::maybeInteger(std::size_t k, const char* what) const {
  if (absent(k)) return std::nullopt;
  return integer(k, what);
}

std::optional<double> Line::maybeNumber(std::size_t k, const char* what) const {
  if (absent(k)) return std::nullopt;
  return numberFrom(fields_[k], what);
}

std::uint64_t Line::unsigned64(std::size_t k, const char* what) const {
  return integerFrom<std::uint64_t>(fields_[k], what);
}

std::uint64_t Line::hex(std::size_t k, const char* what) const {
  if (absent(k)) return 0;
  return integerFrom<std::uint64_t>(fields_[k], what, 16);
}

bool Line::boolean(std::size_t k, const char* what) const {
  return integer(k, what, 0, 1) == 1;
}

std::vector<std::pair<std::string_view, double>> Line::report(std::size_t k,
                                                              const char* what) const {
  std::vector<std::pair<std::string_view, double>> values;
  std::string_view text = fields_[k];
  if (absent(k) || text.empty()) return values;
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

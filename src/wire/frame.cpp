#include "wire/frame.h"

#include <charconv>
#include <cmath>

namespace reedchute::wire {
namespace {

[[noreturn]] void bad(const char* what, std::string_view text) {
  throw Malformed(std::string("bad value for ") + what + ": '" + std::string(text.substr(0, 60)) + "'");
}

template <class T>
T parse(std::string_view text, const char* what, int base = 10) {
  T value{};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (error != std::errc{} || end != text.data() + text.size()) bad(what, text);
  return value;
}

}  // namespace

double number(std::string_view text, const char* what) {
  double value{};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) bad(what, text);
  return value;
}

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
    throw Malformed(std::string(name()) + " takes " + std::to_string(count) + " values, not " +
                    std::to_string(fields()));
}

std::string Line::text(std::size_t k, const char* what) const {
  if (fields_[k].empty() || absent(k)) bad(what, fields_[k]);
  return std::string(fields_[k]);
}

std::int64_t Line::integer(std::size_t k, const char* what, std::int64_t low, std::int64_t high) const {
  auto value = parse<std::int64_t>(fields_[k], what);
  if (value < low || value > high) bad(what, fields_[k]);
  return value;
}

std::optional<std::int64_t> Line::maybeInteger(std::size_t k, const char* what) const {
  if (absent(k)) return std::nullopt;
  return integer(k, what);
}

std::optional<double> Line::maybeNumber(std::size_t k, const char* what) const {
  if (absent(k)) return std::nullopt;
  return number(fields_[k], what);
}

std::uint64_t Line::unsigned64(std::size_t k, const char* what) const {
  return parse<std::uint64_t>(fields_[k], what);
}

std::uint64_t Line::hex(std::size_t k, const char* what) const {
  if (absent(k)) return 0;
  return parse<std::uint64_t>(fields_[k], what, 16);
}

bool Line::boolean(std::size_t k, const char* what) const { return integer(k, what, 0, 1) == 1; }

std::vector<std::pair<std::string_view, double>> Line::report(std::size_t k, const char* what) const {
  std::vector<std::pair<std::string_view, double>> values;
  std::string_view text = fields_[k];
  if (absent(k) || text.empty()) return values;
  for (;;) {
    std::size_t comma = text.find(',');
    std::string_view pair = text.substr(0, comma);
    std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos || colon == 0) bad(what, pair);
    values.emplace_back(pair.substr(0, colon), wire::number(pair.substr(colon + 1), what));
    if (comma == std::string_view::npos) return values;
    text.remove_prefix(comma + 1);
  }
}

void Params::add(std::string_view pair) {
  std::size_t equals = pair.find('=');
  if (equals == std::string_view::npos || equals == 0) bad("params", pair);
  values_[std::string(pair.substr(0, equals))] = std::string(pair.substr(equals + 1));
}

const std::string* Params::find(const std::string& path) const {
  auto it = values_.find(path);
  return it == values_.end() || it->second == "-" ? nullptr : &it->second;
}

const std::string& Params::need(const std::string& path) const {
  const std::string* value = find(path);
  if (!value || value->empty()) throw Malformed("the setting " + path + " is missing");
  return *value;
}

double Params::number(const std::string& path) const { return wire::number(need(path), path.c_str()); }

double Params::number(const std::string& path, double otherwise) const {
  return find(path) ? number(path) : otherwise;
}

std::int64_t Params::integer(const std::string& path) const {
  auto value = parse<std::int64_t>(need(path), path.c_str());
  if (value < -INT64_MAX / 8 || value > INT64_MAX / 8) bad(path.c_str(), need(path));
  return value;
}

std::int64_t Params::integer(const std::string& path, std::int64_t otherwise) const {
  return find(path) ? integer(path) : otherwise;
}

bool Params::boolean(const std::string& path, bool otherwise) const {
  const std::string* value = find(path);
  if (!value) return otherwise;
  if (*value == "true" || *value == "1") return true;
  if (*value == "false" || *value == "0") return false;
  bad(path.c_str(), *value);
}

std::vector<std::string> Params::list(const std::string& path) const {
  std::vector<std::string> items;
  const std::string* value = find(path);
  if (!value || value->empty()) return items;
  for (std::string_view text = *value;;) {
    std::size_t comma = text.find(',');
    items.emplace_back(text.substr(0, comma));
    if (comma == std::string_view::npos) return items;
    text.remove_prefix(comma + 1);
  }
}

}  // namespace reedchute::wire

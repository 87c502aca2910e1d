#include "config/platform_settings.h"

#include <cmath>

namespace reedchute {
namespace {

// Small enough that sums of a few values don't overflow.
constexpr std::int64_t kMaxInteger = INT64_MAX / 8;
constexpr const char* kAbsent = "-";  // the value of a setting that is not set

std::string scalarText(const json::Value& value) {
  using Kind = json::Value::Kind;
  switch (value.kind) {
    case Kind::boolean:
      return value.boolean ? "true" : "false";
    case Kind::number:
    case Kind::string:
      return value.text;
    default:
      return kAbsent;
  }
}

std::string joinedText(const json::Value& array) {
  std::string joined;
  for (const json::Value& item : array.items) {
    if (!joined.empty()) joined += ',';
    joined += scalarText(item);
  }
  return joined;
}

}  // namespace

void badValue(const char* what, std::string_view text) {
  throw InvalidInput(std::string("bad value for ") + what + ": '" +
                     std::string(text.substr(0, 60)) + "'");
}

double numberFrom(std::string_view text, const char* what) {
  auto value = parseNumber<double>(text);
  if (!value || !std::isfinite(*value)) badValue(what, text);
  return *value;
}

void PlatformSettings::add(std::string_view pair) {
  std::size_t equals = pair.find('=');
  if (equals == std::string_view::npos || equals == 0) badValue("params", pair);
  set(std::string(pair.substr(0, equals)), std::string(pair.substr(equals + 1)));
}

void PlatformSettings::add(const std::string& path, const json::Value& value) {
  switch (value.kind) {
    case json::Value::Kind::object:
      return addObject(path, value);
    case json::Value::Kind::array:
      return addArray(path, value);
    default:
      set(path, scalarText(value));
  }
}

void PlatformSettings::addObject(const std::string& path, const json::Value& object) {
  std::string prefix = path.empty() ? "" : path + ".";
  for (const auto& [name, member] : object.members) add(prefix + name, member);
}

void PlatformSettings::addArray(const std::string& path, const json::Value& array) {
  bool holdsObjects = !array.items.empty() && array.items[0].kind == json::Value::Kind::object;
  if (!holdsObjects) return set(path, joinedText(array));
  set(path + ".count", std::to_string(array.items.size()));
  for (std::size_t k = 0; k < array.items.size(); ++k)
    add(path + "." + std::to_string(k), array.items[k]);
}

const std::string* PlatformSettings::find(const std::string& path) const {
  auto it = values_.find(path);
  if (it == values_.end() || it->second == kAbsent) return nullptr;
  return &it->second;
}

const std::string& PlatformSettings::require(const std::string& path) const {
  const std::string* value = find(path);
  if (!value || value->empty()) throw InvalidInput("the setting " + path + " is missing");
  return *value;
}

double PlatformSettings::number(const std::string& path) const {
  return numberFrom(require(path), path.c_str());
}

double PlatformSettings::number(const std::string& path, double defaultValue) const {
  return find(path) ? number(path) : defaultValue;
}

std::int64_t PlatformSettings::integer(const std::string& path) const {
  auto value = integerFrom<std::int64_t>(require(path), path.c_str());
  if (value < -kMaxInteger || value > kMaxInteger) badValue(path.c_str(), require(path));
  return value;
}

std::int64_t PlatformSettings::integer(const std::string& path, std::int64_t defaultValue) const {
  return find(path) ? integer(path) : defaultValue;
}

bool PlatformSettings::boolean(const std::string& path, bool defaultValue) const {
  const std::string* value = find(path);
  if (!value) return defaultValue;
  if (*value == "true" || *value == "1") return true;
  if (*value == "false" || *value == "0") return false;
  badValue(path.c_str(), *value);
}

std::vector<std::string> PlatformSettings::list(const std::string& path) const {
  std::vector<std::string> items;
  const std::string* value = find(path);
  if (!value || value->empty()) return items;
  std::string_view rest = *value;
  for (;;) {
    std::size_t comma = rest.find(',');
    items.emplace_back(rest.substr(0, comma));
    if (comma == std::string_view::npos) return items;
    rest.remove_prefix(comma + 1);
  }
}

}  // namespace reedchute

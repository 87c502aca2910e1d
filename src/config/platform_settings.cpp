#include "config/platform_settings.h"

#include <cmath>

namespace reedchute {
namespace {

std::string plain(const json::Value& v) {
  using Kind = json::Value::Kind;
  switch (v.kind) {
    case Kind::boolean:
      return v.boolean ? "true" : "false";
    case Kind::number:
    case Kind::string:
      return v.text;
    default:
      return "-";
  }
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
  using Kind = json::Value::Kind;
  if (value.kind == Kind::object) {
    for (const auto& [name, member] : value.members)
      add(path.empty() ? name : path + "." + name, member);
  } else if (value.kind == Kind::array && !value.items.empty() &&
             value.items[0].kind == Kind::object) {
    set(path + ".count", std::to_string(value.items.size()));
    for (std::size_t k = 0; k < value.items.size(); ++k)
      add(path + "." + std::to_string(k), value.items[k]);
  } else if (value.kind == Kind::array) {
    std::string joined;
    for (const json::Value& item : value.items) joined += (joined.empty() ? "" : ",") + plain(item);
    set(path, std::move(joined));
  } else {
    set(path, plain(value));
  }
}

const std::string* PlatformSettings::find(const std::string& path) const {
  auto it = values_.find(path);
  return it == values_.end() || it->second == "-" ? nullptr : &it->second;
}

const std::string& PlatformSettings::need(const std::string& path) const {
  const std::string* value = find(path);
  if (!value || value->empty()) throw InvalidInput("the setting " + path + " is missing");
  return *value;
}

double PlatformSettings::number(const std::string& path) const {
  return numberFrom(need(path), path.c_str());
}

double PlatformSettings::number(const std::string& path, double otherwise) const {
  return find(path) ? number(path) : otherwise;
}

std::int64_t PlatformSettings::integer(const std::string& path) const {
  auto value = integerFrom<std::int64_t>(need(path), path.c_str());
  if (value < -INT64_MAX / 8 || value > INT64_MAX / 8) badValue(path.c_str(), need(path));
  return value;
}

std::int64_t PlatformSettings::integer(const std::string& path, std::int64_t otherwise) const {
  return find(path) ? integer(path) : otherwise;
}

bool PlatformSettings::boolean(const std::string& path, bool otherwise) const {
  const std::string* value = find(path);
  if (!value) return otherwise;
  if (*value == "true" || *value == "1") return true;
  if (*value == "false" || *value == "0") return false;
  badValue(path.c_str(), *value);
}

std::vector<std::string> PlatformSettings::list(const std::string& path) const {
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

}  // namespace reedchute

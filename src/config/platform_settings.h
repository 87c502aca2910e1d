// The settings that an instance is handed, by path: classes.0.name and the like. Both the
// simulator's start line and the front's configuration are brought into this form.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/parse_number.h"
#include "codec/json/json.h"

namespace reedchute {

// What is wrong with an input; ends the program with one plain line.
struct InvalidInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

[[noreturn]] void badValue(const char* what, std::string_view text);

double numberFrom(std::string_view text, const char* what);

template <class T>
T integerFrom(std::string_view text, const char* what, int base = 10) {
  auto value = parseNumber<T>(text, base);
  if (!value) badValue(what, text);
  return *value;
}

class PlatformSettings {
 public:
  void add(std::string_view pair);  // path=value
  void set(const std::string& path, std::string value) { values_[path] = std::move(value); }
  // Nested JSON: an object's members go on the path, plain lists are joined by commas, lists of
  // objects get their length under .count and their items under .0, .1 and so on.
  void add(const std::string& path, const json::Value& value);

  const std::string* find(const std::string& path) const;
  const std::string& need(const std::string& path) const;
  double number(const std::string& path) const;
  double number(const std::string& path, double otherwise) const;
  std::int64_t integer(const std::string& path) const;
  std::int64_t integer(const std::string& path, std::int64_t otherwise) const;
  bool boolean(const std::string& path, bool otherwise) const;
  std::vector<std::string> list(const std::string& path) const;
  bool operator==(const PlatformSettings&) const = default;

 private:
  std::map<std::string, std::string> values_;
};

}  // namespace reedchute

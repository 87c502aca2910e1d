// The platform's settings as texts by their paths, such as classes.0.name. Both the simulator's
// start line and the proxy's configuration are brought into this form. Also the readers of single
// values and the error that all reading of outer input throws.
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

// An input that can't be used. Its text is one plain line for the operator.
struct InvalidInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Throws InvalidInput, naming `what` and the beginning of `text`.
[[noreturn]] void badValue(const char* what, std::string_view text);

// `text` as a finite number. Throws InvalidInput.
double numberFrom(std::string_view text, const char* what);

// `text` as a whole number of type T. Throws InvalidInput.
template <class T>
T integerFrom(std::string_view text, const char* what, int base = 10) {
  auto value = parseNumber<T>(text, base);
  if (!value) badValue(what, text);
  return *value;
}

// All readers throw InvalidInput, naming the path, where a value has the wrong form, and those
// without a default also where it is absent.
class PlatformSettings {
 public:
  void add(std::string_view pair);  // path=value
  void set(const std::string& path, std::string value) { values_[path] = std::move(value); }
  // Adds a JSON value. An object's members are appended to the path; an array of plain values is
  // joined by commas; an array of objects gets its length under .count, and its items under .0, .1
  // and so on.
  void add(const std::string& path, const json::Value& value);

  // Null where the setting is absent.
  const std::string* find(const std::string& path) const;
  const std::string& need(const std::string& path) const;
  double number(const std::string& path) const;
  double number(const std::string& path, double otherwise) const;
  std::int64_t integer(const std::string& path) const;
  std::int64_t integer(const std::string& path, std::int64_t otherwise) const;
  bool boolean(const std::string& path, bool otherwise) const;
  std::vector<std::string> list(const std::string& path) const;  // empty where it is absent
  bool operator==(const PlatformSettings&) const = default;

 private:
  void addObject(const std::string& path, const json::Value& object);
  void addArray(const std::string& path, const json::Value& array);

  std::map<std::string, std::string> values_;  // by path
};

}  // namespace reedchute

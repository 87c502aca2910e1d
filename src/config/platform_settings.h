// The platform's settings as a map from paths, such as classes.0.name, to texts. Both the
// simulator's start line and the proxy's configuration file are converted to this form. Also
// defines the parsers of single values, and the error that is thrown for any invalid external
// input.
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

// An invalid input. The message is one line for the operator.
struct InvalidInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Throws InvalidInput with a message that names `what` and the beginning of `text`.
[[noreturn]] void badValue(const char* what, std::string_view text);

// Parses `text` as a finite number. Throws InvalidInput.
double numberFrom(std::string_view text, const char* what);

// Parses `text` as an integer of type T. Throws InvalidInput.
template <class T>
T integerFrom(std::string_view text, const char* what, int base = 10) {
  auto value = parseNumber<T>(text, base);
  if (!value) badValue(what, text);
  return *value;
}

// All readers throw InvalidInput, naming the path, if a value has the wrong type; those without a
// default also if it is absent.
class PlatformSettings {
 public:
  void add(std::string_view pair);  // "path=value"
  void set(const std::string& path, std::string value) { values_[path] = std::move(value); }
  // Adds a JSON value at `path`. The names of an object's members are appended to the path. An
  // array of scalars is joined by commas. An array of objects is stored as its length under .count
  // and its items under .0, .1 and so on.
  void add(const std::string& path, const json::Value& value);

  // Null if the setting is absent.
  const std::string* find(const std::string& path) const;
  const std::string& require(const std::string& path) const;
  double number(const std::string& path) const;
  double number(const std::string& path, double defaultValue) const;
  std::int64_t integer(const std::string& path) const;
  std::int64_t integer(const std::string& path, std::int64_t defaultValue) const;
  bool boolean(const std::string& path, bool defaultValue) const;
  std::vector<std::string> list(const std::string& path) const;  // empty if absent
  bool operator==(const PlatformSettings&) const = default;

 private:
  void addObject(const std::string& path, const json::Value& object);
  void addArray(const std::string& path, const json::Value& array);

  std::map<std::string, std::string> values_;  // by path
};

}  // namespace reedchute

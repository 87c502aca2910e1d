// Reads the simulator's wire: lines of tab-separated fields. Knows fields and batches, not what they mean.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace reedchute::wire {

// What is wrong with a line; ends the program with one plain line.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One line, split at its tabs. Every reader throws Malformed, naming the field.
class Line {
 public:
  void split(std::string_view text);

  std::string_view name() const { return fields_[0]; }
  std::size_t fields() const { return fields_.size() - 1; }
  void expect(std::size_t count) const;
  std::string_view raw(std::size_t k) const { return fields_[k]; }
  std::string text(std::size_t k, const char* what) const;
  bool absent(std::size_t k) const { return fields_[k] == "-"; }
  std::int64_t integer(std::size_t k, const char* what, std::int64_t low = 0,
                       std::int64_t high = INT64_MAX / 8) const;
  std::optional<std::int64_t> maybeInteger(std::size_t k, const char* what) const;
  std::optional<double> maybeNumber(std::size_t k, const char* what) const;
  std::uint64_t unsigned64(std::size_t k, const char* what) const;
  std::uint64_t hex(std::size_t k, const char* what) const;
  bool boolean(std::size_t k, const char* what) const;
  // A load report: name:value pairs set apart by commas.
  std::vector<std::pair<std::string_view, double>> report(std::size_t k, const char* what) const;

 private:
  std::vector<std::string_view> fields_;
};

double number(std::string_view text, const char* what);

// The settings of a start line, path=value; unknown ones stay unread.
class Params {
 public:
  void add(std::string_view pair);
  const std::string* find(const std::string& path) const;
  const std::string& need(const std::string& path) const;
  double number(const std::string& path) const;
  double number(const std::string& path, double otherwise) const;
  std::int64_t integer(const std::string& path) const;
  std::int64_t integer(const std::string& path, std::int64_t otherwise) const;
  bool boolean(const std::string& path, bool otherwise) const;
  std::vector<std::string> list(const std::string& path) const;

 private:
  std::map<std::string, std::string> values_;
};

}  // namespace reedchute::wire

// Reads the simulator's wire: lines of tab-separated fields. Knows fields and batches, not what
// they mean.
#pragma once

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/platform_settings.h"

namespace reedchute::simulator {

// One line, split at its tabs. Every reader throws InvalidInput, naming the field.
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

}  // namespace reedchute::simulator

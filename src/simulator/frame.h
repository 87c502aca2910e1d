// A line of the simulator's wire: tab-separated fields, the first of which is the message's name.
// Knows fields, not what they mean.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/platform_settings.h"

namespace reedchute::simulator {

// Every reader throws InvalidInput, naming the field by `what`. Fields are counted from 1.
class WireLine {
 public:
  // Keeps views into `text`, which has to outlive the reading of its fields.
  void parse(std::string_view text);

  std::string_view name() const { return fields_[0]; }
  std::size_t fieldCount() const { return fields_.size() - 1; }
  void expectFields(std::size_t count) const;
  bool isAbsent(std::size_t field) const { return fields_[field] == "-"; }

  std::string_view raw(std::size_t field) const { return fields_[field]; }
  std::string text(std::size_t field, const char* what) const;
  std::int64_t integer(std::size_t field, const char* what, std::int64_t least = 0,
                       std::int64_t most = INT64_MAX / 8) const;
  std::optional<std::int64_t> maybeInteger(std::size_t field, const char* what) const;
  std::optional<double> maybeNumber(std::size_t field, const char* what) const;
  std::uint64_t unsigned64(std::size_t field, const char* what) const;
  std::uint64_t hex(std::size_t field, const char* what) const;  // 0 where it is absent
  bool boolean(std::size_t field, const char* what) const;
  // A load report: pairs name:value, separated by commas.
  std::vector<std::pair<std::string_view, double>> namedNumbers(std::size_t field,
                                                                const char* what) const;

 private:
  std::vector<std::string_view> fields_;
};

}  // namespace reedchute::simulator

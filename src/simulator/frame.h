// Parses a line of the simulator's protocol into tab-separated fields; the first one is the name of
// the message. The meaning of the fields is up to the caller.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/platform_settings.h"

namespace reedchute::simulator {

// All accessors that convert a field throw InvalidInput if its value is malformed; the error names
// the field by `what`. Field 0 is the name of the message, its values are numbered from 1. An
// absent value is written as "-".
class WireLine {
 public:
  // Keeps views into `text`, which must stay valid while the fields are accessed.
  void parse(std::string_view text);

  std::string_view name() const { return fields_[0]; }
  std::size_t fieldCount() const { return fields_.size() - 1; }
  // Throws InvalidInput unless the line has exactly `count` values.
  void expectFields(std::size_t count) const;
  bool isAbsent(std::size_t field) const { return fields_[field] == "-"; }

  std::string_view raw(std::size_t field) const { return fields_[field]; }
  // The value as a string that is neither absent nor empty.
  std::string text(std::size_t field, const char* what) const;
  std::int64_t integer(std::size_t field, const char* what, std::int64_t min = 0,
                       std::int64_t max = INT64_MAX / 8) const;
  // The optional readers return nullopt if the value is absent.
  std::optional<std::int64_t> optionalInteger(std::size_t field, const char* what) const;
  std::optional<double> optionalNumber(std::size_t field, const char* what) const;
  std::uint64_t unsigned64(std::size_t field, const char* what) const;
  std::uint64_t hex(std::size_t field, const char* what) const;  // 0 if it is absent
  bool boolean(std::size_t field, const char* what) const;
  // A load report: comma-separated pairs of the form name:value.
  std::vector<std::pair<std::string_view, double>> namedNumbers(std::size_t field,
                                                                const char* what) const;

 private:
  std::vector<std::string_view> fields_;
};

}  // namespace reedchute::simulator

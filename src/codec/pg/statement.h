// Reads a statement's text as far as decisions need it. Nothing of it is rewritten but the time in
// `d`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace reedchute::pg {

// The fields of the comment, as views into the text, and where the digits of `d` stand.
struct Fields {
  std::string_view id, workload, mark, key, tenant;  // `key`: the first quoted literal
  std::optional<std::int64_t> waitMs, group, afterMs;
  bool repeated = false;
  std::size_t waitAt = 0, waitSize = 0;
};

enum class Read {
  good,
  empty,     // nothing but blanks, semicolons and comments without fields
  several,   // more than one statement
  unclosed,  // a literal or comment without its end
  noFields,  // no comment with the fields that every statement carries
  badField,  // a field whose value can't be read
};

Read readStatement(std::string_view text, Fields& fields);

// The same text with another time in `d`.
std::string withWait(std::string_view text, std::size_t at, std::size_t size, std::int64_t ms);

}  // namespace reedchute::pg

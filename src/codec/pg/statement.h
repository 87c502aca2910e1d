// Reads a PostgreSQL statement's text as far as routing needs it: the fields in its block comments
// and its first quoted literal. The only rewriting is that of the wait time. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace reedchute::pg {

// The fields of a statement's comments. Views point into the statement's text.
struct Fields {
  std::string_view id;                  // `id`
  std::string_view workload;            // `c`
  std::string_view mark;                // `k`, the idempotency key
  std::string_view key;                 // the statement's first single-quoted literal
  std::string_view tenant;              // `tenant`
  std::optional<std::int64_t> waitMs;   // `d`, never negative
  std::optional<std::int64_t> group;    // `cluster`
  std::optional<std::int64_t> afterMs;  // `after`
  bool repeated = false;                // `r` is 1: the client sent this before
  std::size_t waitAt = 0;               // offset of the digits of `d` in the text
  std::size_t waitSize = 0;             // and their number
};

enum class Read {
  good,
  empty,     // nothing but blanks, semicolons and comments
  several,   // more than one statement
  unclosed,  // a literal or comment without its end
  noFields,  // no comment with the fields that every statement carries
  badField,  // a field whose value can't be read
};

// Reads `text` into `fields`. Unless the result is `good`, `fields` may be set in part.
Read readStatement(std::string_view text, Fields& fields);

// Returns `text` with the `size` bytes at `at`, the digits of `d`, replaced by `ms`.
std::string withWait(std::string_view text, std::size_t at, std::size_t size, std::int64_t ms);

}  // namespace reedchute::pg

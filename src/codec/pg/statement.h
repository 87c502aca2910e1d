// Scans the text of a PostgreSQL statement for what routing needs: the fields in its block comments
// and its first quoted literal. Only the timeout can be rewritten. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace reedchute::pg {

// The fields of a statement's comments, with their names there. Views point into the statement's
// text.
struct Fields {
  std::string_view id;                    // `id`
  std::string_view workload;              // `c`
  std::string_view idempotencyKey;        // `k`
  std::string_view sessionKey;            // the first single-quoted literal of the statement
  std::string_view tenant;                // `tenant`
  std::optional<std::int64_t> timeoutMs;  // `d`, not negative
  std::optional<std::int64_t> group;      // `cluster`
  std::optional<std::int64_t> afterMs;    // `after`: Unix time of the client's last write
  bool isRetry = false;                   // `r` is 1: the client sent this statement before
  std::size_t timeoutOffset = 0;          // offset of the digits of `d` in the text
  std::size_t timeoutSize = 0;            // number of these digits
};

enum class ReadResult {
  good,
  empty,               // only whitespace, semicolons and comments
  multipleStatements,  // more than one statement
  unclosed,            // a literal or comment is not terminated
  missingFields,       // id, c, d or cluster is missing or empty
  invalidField,        // the value of d, cluster or after is invalid
};

// Reads the fields of `text` into `fields`. If the result isn't `good`, `fields` may be partly set.
ReadResult readStatement(std::string_view text, Fields& fields);

// Returns `text` with the digits of `d`, `size` bytes at `offset`, replaced by `ms`.
std::string withTimeout(std::string_view text, std::size_t offset, std::size_t size,
                        std::int64_t ms);

}  // namespace reedchute::pg

// Parses the fields of a statement's custom payload. The table in the .cpp file maps the platform's
// names of the fields to the names used here. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "codec/cql/wire.h"
#include "config/engine_settings.h"

namespace reedchute::protocols::cassandra {

// Views into the frame's body.
struct PayloadFields {
  std::string_view id;              // empty: none
  std::string_view workload;        // empty: given by the table mapping
  std::string_view idempotencyKey;  // empty: none
  bool isRetry = false;
  std::uint64_t session = 0;  // 0: none
  std::string_view tenantName;
  int tenant = -1;  // index of the configured tenant with this name, or -1
  std::optional<std::int64_t> group;
  std::optional<std::int64_t> afterMs;  // Unix time of the client's last write
  std::optional<std::int64_t> timeoutMs;
  // Every timeout value in the body. Each is replaced when the statement is sent to a store.
  std::vector<std::string_view> timeoutValues;
};

// Parses `payload` into `fields`. Returns the reason if a field is invalid; `fields` may then be
// set in part.
std::optional<std::string_view> readPayloadFields(const reedchute::cql::BytesMap& payload,
                                                  const Names& names, PayloadFields& fields);

}  // namespace reedchute::protocols::cassandra

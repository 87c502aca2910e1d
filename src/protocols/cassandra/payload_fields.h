// What a statement's custom payload says of it. The table in the .cpp maps the platform's names of
// the fields to the terms used here. No I/O, no clock.
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
  std::string_view workload;        // empty: the table mapping decides
  std::string_view idempotencyKey;  // empty: none
  bool isRetry = false;
  std::uint64_t session = 0;  // 0: none
  std::string_view tenantName;
  int tenant = -1;  // index of the tenant, -1 where none is configured by this name
  std::optional<std::int64_t> group;
  std::optional<std::int64_t> afterMs;  // Unix time of the client's last write
  std::optional<std::int64_t> timeoutMs;
  std::vector<std::string_view> timeoutValues;  // where the timeout stands in the body
};

// Fills `fields`, or returns why the payload can't be taken.
std::optional<std::string_view> readPayloadFields(const reedchute::cql::BytesMap& payload,
                                                  const Names& names, PayloadFields& fields);

}  // namespace reedchute::protocols::cassandra

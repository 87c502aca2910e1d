// What usage accounting records of a statement and its final response.
#pragma once

#include <cstdint>
#include <string_view>

namespace reedchute::request {

struct UsageRecord {
  std::string_view tenant;
  int workload = -1;
  std::int64_t group = -1;  // id from the endpoint list
  // Neither is set if the statement was aborted, or if its response is an error in the statement
  // itself.
  bool completed = false;
  bool rejected = false;
  std::uint64_t bytesIn = 0;
  std::uint64_t bytesOut = 0;
  std::uint64_t idempotencyKey = 0;
  std::uint32_t attempts = 0;
  std::uint32_t protocol = 0;
};

}  // namespace reedchute::request

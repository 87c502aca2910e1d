// The final response of one statement, as usage accounting records it.
#pragma once

#include <cstdint>
#include <string_view>

namespace reedchute::request {

struct UsageRecord {
  std::string_view tenant;
  int workload = -1;
  std::int64_t group = -1;  // as the endpoint list names it
  // Neither is set where the statement was aborted, or ended with an error that blames it.
  bool completed = false;
  bool rejected = false;
  std::uint64_t bytesIn = 0;
  std::uint64_t bytesOut = 0;
  std::uint64_t idempotencyKey = 0;
  std::uint32_t attempts = 0;
  std::uint32_t protocol = 0;
};

}  // namespace reedchute::request

// The hash that stands for a client's idempotency key.
#pragma once

#include <cstdint>
#include <string_view>

namespace reedchute::request {

// Keys of different tenants or groups are different. 0 where `key` is empty, and only there.
std::uint64_t idempotencyKeyOf(std::string_view tenant, std::int64_t group, std::string_view key);

}  // namespace reedchute::request

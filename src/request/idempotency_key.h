// The hash by which the proxy identifies a client's idempotency key.
#pragma once

#include <cstdint>
#include <string_view>

namespace reedchute::request {

// Tenant and group are part of the hash, so equal keys of different tenants or groups have
// different hashes. Returns 0 if and only if `key` is empty.
std::uint64_t idempotencyKeyOf(std::string_view tenant, std::int64_t group, std::string_view key);

}  // namespace reedchute::request

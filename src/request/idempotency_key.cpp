#include "request/idempotency_key.h"

#include <xxhash.h>

#include <string>

namespace reedchute::request {

std::uint64_t idempotencyKeyOf(std::string_view tenant, std::int64_t group, std::string_view key) {
  if (key.empty()) return 0;
  std::string text(tenant);
  text += '\0';
  text += std::to_string(group);
  text += '\0';
  text += key;
  std::uint64_t hash = XXH3_64bits(text.data(), text.size());
  return hash == 0 ? 1 : hash;
}

}  // namespace reedchute::request

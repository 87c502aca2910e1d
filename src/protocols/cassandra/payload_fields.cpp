#include "protocols/cassandra/payload_fields.h"

#include "base/parse_number.h"
#include "protocols/cassandra/paging_state.h"
#include "request/limits.h"
#include "request/received_statement.h"

namespace reedchute::protocols::cassandra {

namespace {

using Error = std::optional<std::string_view>;

Error readNumber(std::string_view value, std::optional<std::int64_t>& number) {
  number = parseNumber<std::int64_t>(value);
  if (!number) return "the payload fields cluster, after and d must be integers";
  return std::nullopt;
}

Error readId(std::string_view value, const Names&, PayloadFields& fields) {
  fields.id = value;
  return std::nullopt;
}

Error readWorkload(std::string_view value, const Names&, PayloadFields& fields) {
  fields.workload = value;
  return std::nullopt;
}

Error readIdempotencyKey(std::string_view value, const Names&, PayloadFields& fields) {
  fields.idempotencyKey = value;
  return std::nullopt;
}

Error readIsRetry(std::string_view value, const Names&, PayloadFields& fields) {
  fields.isRetry = value == "1";
  return std::nullopt;
}

// A session key is a hexadecimal number; any other string is hashed.
Error readSession(std::string_view value, const Names&, PayloadFields& fields) {
  std::optional<std::uint64_t> digits = parseNumber<std::uint64_t>(value, 16);
  fields.session = digits ? *digits : hashOf(value);
  return std::nullopt;
}

Error readTenant(std::string_view value, const Names& names, PayloadFields& fields) {
  fields.tenantName = value.substr(0, request::kMaxTenantBytes);
  fields.tenant = indexOf(names.tenants, value);
  if (fields.tenant < 0 && !names.tenants.empty()) return "an unknown tenant";
  return std::nullopt;
}

Error readGroup(std::string_view value, const Names&, PayloadFields& fields) {
  return readNumber(value, fields.group);
}

Error readAfter(std::string_view value, const Names&, PayloadFields& fields) {
  return readNumber(value, fields.afterMs);
}

Error readTimeout(std::string_view value, const Names&, PayloadFields& fields) {
  fields.timeoutValues.push_back(value);
  return readNumber(value, fields.timeoutMs);
}

struct FieldReader {
  std::string_view name;  // the platform's name
  Error (*read)(std::string_view value, const Names& names, PayloadFields& fields);
};

// The names are the same as in the comment of a PostgreSQL statement.
constexpr FieldReader kFieldReaders[] = {
    {"id", readId},         {"c", readWorkload},      {"k", readIdempotencyKey},
    {"r", readIsRetry},     {"session", readSession}, {"tenant", readTenant},
    {"cluster", readGroup}, {"after", readAfter},     {"d", readTimeout},
};

// Unknown fields are for the client's own use and are ignored.
Error readField(std::string_view name, std::string_view value, const Names& names,
                PayloadFields& fields) {
  for (const FieldReader& reader : kFieldReaders)
    if (reader.name == name) return reader.read(value, names, fields);
  return std::nullopt;
}

bool isWithin(const std::optional<std::int64_t>& number, std::int64_t max) {
  return !number || (*number >= 0 && *number <= max);
}

}  // namespace

std::optional<std::string_view> readPayloadFields(const reedchute::cql::BytesMap& payload,
                                                  const Names& names, PayloadFields& fields) {
  for (const auto& [name, value] : payload)
    if (Error error = readField(name, value, names, fields)) return error;
  if (!isWithin(fields.timeoutMs, request::kMaxTimeoutMs))
    return "the timeout (payload field d) must be 0 to 86400000 ms";
  if (!isWithin(fields.afterMs, request::kMaxPositionMs))
    return "the time of the last write (payload field after) must be 0 to 100000000000000 ms";
  return std::nullopt;
}

}  // namespace reedchute::protocols::cassandra

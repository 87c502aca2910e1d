#include "protocols/cassandra/payload_fields.h"

#include "base/parse_number.h"
#include "protocols/cassandra/paging_state.h"
#include "request/received_statement.h"

namespace reedchute::protocols::cassandra {

namespace {

constexpr std::int64_t kMaxTimeoutMs = 86'400'000;
// Unix time: far ahead, and far from what microseconds can hold.
constexpr std::int64_t kMaxPositionMs = 100'000'000'000'000;

using Error = std::optional<std::string_view>;

Error readNumber(std::string_view value, std::optional<std::int64_t>& number) {
  number = parseNumber<std::int64_t>(value);
  if (!number) return "a field of the payload can't be read";
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

// A session's key: its hex digits as a number, or a hash of whatever else it is.
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
  std::string_view name;  // as the platform has it
  Error (*read)(std::string_view value, const Names& names, PayloadFields& fields);
};

// The same names as in the comment of a PostgreSQL statement.
constexpr FieldReader kFieldReaders[] = {
    {"id", readId},         {"c", readWorkload},      {"k", readIdempotencyKey},
    {"r", readIsRetry},     {"session", readSession}, {"tenant", readTenant},
    {"cluster", readGroup}, {"after", readAfter},     {"d", readTimeout},
};

// Fields of other names are the client's own and are passed over.
Error readField(std::string_view name, std::string_view value, const Names& names,
                PayloadFields& fields) {
  for (const FieldReader& reader : kFieldReaders)
    if (reader.name == name) return reader.read(value, names, fields);
  return std::nullopt;
}

bool isWithin(const std::optional<std::int64_t>& number, std::int64_t most) {
  return !number || (*number >= 0 && *number <= most);
}

}  // namespace

std::optional<std::string_view> readPayloadFields(const reedchute::cql::BytesMap& payload,
                                                  const Names& names, PayloadFields& fields) {
  for (const auto& [name, value] : payload)
    if (Error error = readField(name, value, names, fields)) return error;
  if (!isWithin(fields.timeoutMs, kMaxTimeoutMs)) return "a wait that makes no sense";
  if (!isWithin(fields.afterMs, kMaxPositionMs)) return "a position that makes no sense";
  return std::nullopt;
}

}  // namespace reedchute::protocols::cassandra

#include "protocols/postgres/statement_decoder.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "base/parse_number.h"
#include "codec/pg/messages.h"
#include "codec/pg/statement.h"
#include "log/log.h"
#include "request/idempotency_key.h"
#include "request/limits.h"

namespace reedchute::protocols::postgres {

namespace pg = reedchute::pg;

namespace {

// A 64 KiB value as hex digits, plus the rest of the statement.
constexpr std::size_t kMaxTextBytes = 64 * 1024 * 2 + 4096;
constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

// An error that is returned to the client: its SQLSTATE and text.
struct Refusal {
  std::string_view sqlState, text;
};

ImmediateReply replyTo(const Refusal& refusal) {
  log::line("bad_statement", "code=%s what=\"%s\"", std::string(refusal.sqlState).c_str(),
            std::string(refusal.text).c_str());
  return {pg::error(false, refusal.sqlState, refusal.text) + pg::ready()};
}

// Returns the error if the text can't be parsed. An empty query isn't an error.
std::optional<Refusal> refusalOf(pg::ReadResult result) {
  switch (result) {
    case pg::ReadResult::multipleStatements:
      return Refusal{"42601", "a query must contain exactly one statement"};
    case pg::ReadResult::unclosed:
      return Refusal{"42601", "unterminated literal or comment"};
    case pg::ReadResult::missingFields:
      return Refusal{"42601", "the comment fields id, c, d and cluster are required"};
    case pg::ReadResult::invalidField:
      return Refusal{
          "22023",
          "invalid comment field: d must be a non-negative integer, cluster and after integers"};
    default:
      return std::nullopt;
  }
}

// Returns the session of a session key: the number if the key is hex digits, otherwise its FNV-1a
// hash.
std::uint64_t sessionOf(std::string_view key) {
  if (std::optional<std::uint64_t> digits = parseNumber<std::uint64_t>(key, 16)) return *digits;
  std::uint64_t hash = kFnvOffset;
  for (char c : key) hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  return hash;
}

// Returns the error if a field other than workload and group is invalid.
std::optional<Refusal> checkFields(const pg::Fields& fields, bool needsKey, bool isOpen) {
  // Two open statements with the same id would be confused wherever statements are identified by
  // their id.
  if (isOpen) return Refusal{"22023", "id belongs to a statement that is still open"};
  if (needsKey && fields.idempotencyKey.empty())
    return Refusal{"22023", "the workload requires an idempotency key in field k"};
  if (fields.afterMs && (*fields.afterMs < 0 || *fields.afterMs > request::kMaxPositionMs))
    return Refusal{"22023", "after must be from 0 to 100000000000000 ms"};
  if (*fields.timeoutMs > request::kMaxTimeoutMs)
    return Refusal{"22023", "d must be at most 86400000 ms"};
  return std::nullopt;
}

std::unique_ptr<Query> makeQuery(std::string_view text, const pg::Fields& fields) {
  auto query = std::make_unique<Query>();
  query->text = text;
  query->timeoutOffset = fields.timeoutOffset;
  query->timeoutSize = fields.timeoutSize;
  return query;
}

}  // namespace

std::variant<request::ReceivedStatement, ImmediateReply> StatementDecoder::decode(
    std::string_view text, TimePoint now, const runtime::WallClock& wall) const {
  if (text.size() > kMaxTextBytes)
    return replyTo({"54000", "the statement is longer than 135168 bytes"});
  if (text.find('\0') != std::string_view::npos)
    return replyTo({"22021", "the statement contains a zero byte"});
  pg::Fields fields;
  pg::ReadResult result = pg::readStatement(text, fields);
  if (result == pg::ReadResult::empty) return ImmediateReply{pg::emptyQuery() + pg::ready()};
  if (std::optional<Refusal> refusal = refusalOf(result)) return replyTo(*refusal);
  request::ReceivedStatement statement;
  Arrival& arrival = statement.arrival;
  arrival.workload = indexOf(names_.workloads, fields.workload);
  if (arrival.workload < 0) return replyTo({"22023", "unknown workload in field c"});
  arrival.group = groups_.find(*fields.group);
  if (arrival.group < 0) return replyTo({"22023", "unknown group in field cluster"});
  bool needsKey = names_.deduplicated[static_cast<std::size_t>(arrival.workload)];
  bool isOpen = openIds_.contains(std::string(fields.id));
  if (std::optional<Refusal> refusal = checkFields(fields, needsKey, isOpen))
    return replyTo(*refusal);
  arrival.session = sessionOf(fields.sessionKey);
  arrival.repeated = fields.isRetry;
  // A commit's time is rounded up and may be ahead of this clock, which makes the difference
  // negative; it still counts as a write.
  if (fields.afterMs) arrival.sinceWrite = now - wall.toSteady(WallTime{*fields.afterMs * 1000});
  statement.timeout = Duration{*fields.timeoutMs * 1000};
  statement.id = fields.id;
  statement.tenant = fields.tenant.substr(0, request::kMaxTenantBytes);
  statement.idempotencyKey = request::idempotencyKeyOf(statement.tenant, *fields.group,
                                                       fields.idempotencyKey);
  arrival.tenant = indexOf(names_.tenants, statement.tenant);
  statement.payload = makeQuery(text, fields);
  return statement;
}

}  // namespace reedchute::protocols::postgres

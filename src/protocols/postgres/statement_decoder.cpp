#include "protocols/postgres/statement_decoder.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "base/parse_number.h"
#include "codec/pg/messages.h"
#include "codec/pg/statement.h"
#include "log/log.h"

namespace reedchute::protocols::postgres {

namespace pg = reedchute::pg;

namespace {

// Bytes: a value of 64 KiB in hex digits, and the rest.
constexpr std::size_t kMaxText = 64 * 1024 * 2 + 4096;
constexpr std::int64_t kMaxWaitMs = 86'400'000;
// Unix time: far ahead, and far from what microseconds can hold.
constexpr std::int64_t kMaxPositionMs = 100'000'000'000'000;
constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

// An error as the client gets it, by its SQLSTATE and text.
struct Refusal {
  std::string_view sqlState, text;
};

ImmediateReply replyTo(const Refusal& refusal) {
  log::line("bad_statement", "code=%s what=\"%s\"", std::string(refusal.sqlState).c_str(),
            std::string(refusal.text).c_str());
  return {pg::error(false, refusal.sqlState, refusal.text) + pg::ready()};
}

// Why the text can't be read, if it can't; an empty query is no error.
std::optional<Refusal> refusalOf(pg::Read result) {
  switch (result) {
    case pg::Read::several:
      return Refusal{"42601", "several statements in one query"};
    case pg::Read::unclosed:
      return Refusal{"42601", "a literal or comment without its end"};
    case pg::Read::noFields:
      return Refusal{"42601", "the comment with id, c, d and cluster is missing"};
    case pg::Read::badField:
      return Refusal{"22023", "a field of the comment can't be read"};
    default:
      return std::nullopt;
  }
}

// A session's key: its hex digits as a number, or a hash of whatever else it is.
std::uint64_t sessionOf(std::string_view key) {
  if (std::optional<std::uint64_t> digits = parseNumber<std::uint64_t>(key, 16)) return *digits;
  std::uint64_t hash = kFnvOffset;
  for (char c : key) hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  return hash;
}

// What is wrong with the fields beside workload and group.
std::optional<Refusal> checkFields(const pg::Fields& fields, bool needsKey, bool isOpen) {
  // Of two open statements with one id, the later would pass for the earlier wherever ids are told
  // apart.
  if (isOpen) return Refusal{"22023", "an id that is open already"};
  if (needsKey && fields.mark.empty()) return Refusal{"22023", "no k where the workload needs one"};
  if (fields.afterMs && (*fields.afterMs < 0 || *fields.afterMs > kMaxPositionMs))
    return Refusal{"22023", "a position that makes no sense"};
  if (*fields.waitMs > kMaxWaitMs) return Refusal{"22023", "a wait that makes no sense"};
  return std::nullopt;
}

std::unique_ptr<Query> makeQuery(std::string_view text, const pg::Fields& fields) {
  auto query = std::make_unique<Query>();
  query->text = text;
  query->waitOffset = fields.waitAt;
  query->waitSize = fields.waitSize;
  return query;
}

}  // namespace

std::variant<request::ReceivedStatement, ImmediateReply> StatementDecoder::decode(
    std::string_view text, TimePoint now, const runtime::WallClock& wall) const {
  if (text.size() > kMaxText) return replyTo({"54000", "the statement is too long"});
  if (text.find('\0') != std::string_view::npos)
    return replyTo({"22021", "a zero byte in the statement"});
  pg::Fields fields;
  pg::Read result = pg::readStatement(text, fields);
  if (result == pg::Read::empty) return ImmediateReply{pg::emptyQuery() + pg::ready()};
  if (std::optional<Refusal> refusal = refusalOf(result)) return replyTo(*refusal);
  request::ReceivedStatement statement;
  Arrival& arrival = statement.arrival;
  arrival.workload = indexOf(names_.workloads, fields.workload);
  if (arrival.workload < 0) return replyTo({"22023", "an unknown workload"});
  arrival.group = groups_.find(*fields.group);
  if (arrival.group < 0) return replyTo({"22023", "an unknown group"});
  bool needsKey = names_.deduplicated[static_cast<std::size_t>(arrival.workload)];
  bool isOpen = openIds_.contains(std::string(fields.id));
  if (std::optional<Refusal> refusal = checkFields(fields, needsKey, isOpen))
    return replyTo(*refusal);
  arrival.session = sessionOf(fields.key);
  arrival.repeated = fields.repeated;
  // A commit's time is rounded up and may lie ahead of this clock; it is a write all the same.
  if (fields.afterMs) arrival.sinceWrite = now - wall.toSteady(WallTime{*fields.afterMs * 1000});
  statement.timeout = Duration{*fields.waitMs * 1000};
  statement.id = fields.id;
  statement.tenant = fields.tenant.substr(0, request::kMostTenant);
  statement.mark = request::markOf(statement.tenant, *fields.group, fields.mark);
  arrival.tenant = indexOf(names_.tenants, statement.tenant);
  statement.payload = makeQuery(text, fields);
  return statement;
}

}  // namespace reedchute::protocols::postgres

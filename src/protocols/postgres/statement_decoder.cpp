#include "protocols/postgres/statement_decoder.h"

#include <algorithm>

#include "base/parse_number.h"
#include "codec/pg/messages.h"
#include "codec/pg/statement.h"
#include "log/log.h"
#include "request/idempotency_key.h"

namespace reedchute::protocols::postgres {
namespace {

constexpr std::size_t kMostText = 64 * 1024 * 2 +
                                  4096;  // a value of 64 KiB in hex digits, and the rest
constexpr std::int64_t kLongestWaitMs = 86'400'000;
constexpr std::int64_t kLatestMs =
    100'000'000'000'000;  // far ahead, and far from what microseconds can hold

namespace pg = reedchute::pg;

std::string refusal(std::string_view code, std::string_view text) {
  log::line("bad_statement", "code=%s what=\"%s\"", std::string(code).c_str(),
            std::string(text).c_str());
  return pg::error(false, code, text) + pg::ready();
}

// A session's key: its hex digits as a number, or a hash of whatever else it is.
std::uint64_t sessionOf(std::string_view key) {
  if (auto digits = parseNumber<std::uint64_t>(key, 16)) return *digits;
  std::uint64_t value = 14695981039346656037ULL;
  for (char c : key) value = (value ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return value;
}

}  // namespace

std::optional<std::string> TakeIn::read(std::string_view text, TimePoint now,
                                        const runtime::WallClock& wall,
                                        request::ReceivedStatement& taken) const {
  if (text.size() > kMostText) return refusal("54000", "the statement is too long");
  if (text.find('\0') != std::string_view::npos)
    return refusal("22021", "a zero byte in the statement");
  pg::Fields f;
  switch (pg::readStatement(text, f)) {
    case pg::Read::good:
      break;
    case pg::Read::empty:
      return pg::emptyQuery() + pg::ready();
    case pg::Read::several:
      return refusal("42601", "several statements in one query");
    case pg::Read::unclosed:
      return refusal("42601", "a literal or comment without its end");
    case pg::Read::noFields:
      return refusal("42601", "the comment with id, c, d and cluster is missing");
    case pg::Read::badField:
      return refusal("22023", "a field of the comment can't be read");
  }
  Arrival& a = taken.arrival;
  a.workload = placeOf(names_.workloads, f.workload);
  if (a.workload < 0) return refusal("22023", "an unknown workload");
  a.group = groups_.find(*f.group);
  if (a.group < 0) return refusal("22023", "an unknown group");
  // Danger: of two open statements with one id, the later would pass for the earlier wherever ids
  // are told apart.
  if (openIds_.contains(std::string(f.id))) return refusal("22023", "an id that is open already");
  if (names_.marked[static_cast<std::size_t>(a.workload)] && f.mark.empty())
    return refusal("22023", "no k where the workload needs one");
  if (f.afterMs && (*f.afterMs < 0 || *f.afterMs > kLatestMs))
    return refusal("22023", "a position that makes no sense");
  if (*f.waitMs > kLongestWaitMs) return refusal("22023", "a wait that makes no sense");
  taken.timeout = Duration{*f.waitMs * 1000};
  a.session = sessionOf(f.key);
  a.repeated = f.repeated;
  // A commit's time is rounded up and may lie ahead of this clock; it is a write all the same.
  if (f.afterMs) a.sinceWrite = now - wall.pointOf(WallTime{*f.afterMs * 1000});
  auto query = std::make_unique<Query>();
  query->text = text;
  query->waitAt = f.waitAt, query->waitSize = f.waitSize;
  taken.id = f.id;
  taken.tenant = f.tenant.substr(0, request::kMaxTenantBytes);
  taken.idempotencyKey = request::idempotencyKeyOf(taken.tenant, *f.group, f.mark);
  a.tenant = placeOf(names_.tenants, taken.tenant);
  taken.payload = std::move(query);
  return std::nullopt;
}

}  // namespace reedchute::protocols::postgres

#include "protocols/cassandra/statement_decoder.h"

#include <algorithm>

#include "base/parse_number.h"
#include "log/log.h"
#include "request/idempotency_key.h"

namespace reedchute::protocols::cassandra {

namespace cql = reedchute::cql;
using cql::Frame;
using cql::Opcode;

namespace {

constexpr std::int64_t kLongestWaitMs = 86'400'000;
constexpr std::int64_t kLatestMs =
    100'000'000'000'000;  // far ahead, and far from what microseconds can hold

std::uint64_t sessionOf(std::string_view key) {
  if (auto digits = parseNumber<std::uint64_t>(key, 16)) return *digits;
  return hashOf(key);
}

}  // namespace

std::string encodeBody(const Statement& s, std::int64_t leftMs,
                       const std::vector<std::string>& ids) {
  std::string body;
  body.reserve(s.body.size() + 64);
  std::size_t from = 0;
  for (const Statement::Patch& p : s.patches) {
    body.append(s.body, from, p.at - from);
    from = p.at + p.span;
    if (p.put == Statement::Put::wait) {
      cql::addBytes(body, std::to_string(leftMs));
    } else if (p.put == Statement::Put::id) {
      std::size_t k = 0;
      while (s.requiredTexts[k] != p.text) ++k;
      cql::addShortBytes(body, ids[k]);
    } else {
      body += p.bytes;
    }
  }
  return body.append(s.body, from);
}

// What is gathered of one frame.
struct StatementDecoder::Reading {
  const Frame& frame;
  const std::string& keyspace;  // the session's
  TimePoint now;
  const runtime::WallClock& wall;
  cql::Asked asked;
  cql::TextRead text;  // of a batch: its first statement
  std::string own;     // the keyspace that bare names stand in
  StatementDescription told;
  std::optional<PagingState> page;
  std::unique_ptr<Statement> statement = std::make_unique<Statement>();
  request::ReceivedStatement received;
  std::optional<std::int64_t> waitMs, afterMs;
  bool whole = false;  // the answer is there
  DecodeResult out;

  void refuse(std::int32_t code, std::string_view what) {
    log::line("bad_statement", "code=%04x what=\"%.*s\"", static_cast<unsigned>(code),
              static_cast<int>(what.size()), what.data());
    answer(Opcode::error, cql::errorBody(code, what));
  }
  void answer(Opcode o, std::string body) {
    whole = true;
    out.opcode = o;
    out.body = std::move(body);
  }
};

// A text that came, whose bytes stand at `at` in the frame's body with a length of four bytes
// before them.
void StatementDecoder::readOne(Reading& r, std::string_view text, std::size_t at,
                               std::string_view keyspace, Statement& into) const {
  if (text.find('\0') != std::string_view::npos)
    return r.refuse(cql::kSyntaxError, "a zero byte in the statement");
  cql::TextRead read;
  switch (cql::readText(text, read)) {
    case cql::TextState::good:
      break;
    case cql::TextState::empty:
      return r.refuse(cql::kSyntaxError, "an empty statement");
    case cql::TextState::several:
      return r.refuse(cql::kSyntaxError, "several statements in one");
    case cql::TextState::unclosed:
      return r.refuse(cql::kSyntaxError, "a literal, comment, bracket or batch without its end");
  }
  r.own = keyspace.empty() ? r.keyspace : std::string(keyspace);
  if (!read.bare.empty() && read.kind != cql::Kind::use) {
    if (r.own.empty())
      return r.refuse(cql::kInvalid, "no keyspace is named, neither here nor by USE");
    // A connection to a store is shared by clients who are in different keyspaces: bare names are
    // given theirs.
    if (keyspace.empty()) {
      std::string full = cql::qualified(text, read.bare, r.own);
      std::string bytes;
      cql::addLongString(bytes, full);
      into.patches.push_back(
          {at - 4, 4 + text.size(), Statement::Put::bytes, nullptr, std::move(bytes)});
    }
    if (read.keyspace.empty()) read.keyspace = r.own;
    read.systemTable = cql::systemKeyspace(read.keyspace);
    read.someSystem |= cql::systemKeyspace(r.own);
  }
  r.text = std::move(read);
}

void StatementDecoder::query(Reading& r) const {
  std::size_t at = static_cast<std::size_t>(r.asked.text.data() - r.frame.body.data());
  readOne(r, r.asked.text, at, r.asked.parameters.keyspace, *r.statement);
  if (r.whole) return;
  if (r.text.kind == cql::Kind::use) {
    if (!system_.knowsKeyspace(r.text.keyspace))
      return r.refuse(cql::kInvalid, "a keyspace that is not set up here");
    r.out.useKeyspace = r.text.keyspace;
    return r.answer(Opcode::result, cql::setKeyspaceBody(r.text.keyspace));
  }
  if (r.text.systemTable) {
    std::string_view why;
    if (auto body = system_.answer(r.text, r.asked.text, why))
      return r.answer(Opcode::result, std::move(*body));
    return r.refuse(cql::kInvalid, why);
  }
}

void StatementDecoder::prepare(Reading& r) const {
  std::size_t at = static_cast<std::size_t>(r.asked.text.data() - r.frame.body.data());
  readOne(r, r.asked.text, at, r.asked.parameters.keyspace, *r.statement);
  if (r.whole) return;
  if (r.text.kind == cql::Kind::use) return r.refuse(cql::kInvalid, "USE can't be prepared");
  PreparedText p;
  p.read = r.text;
  // With its names in full it is the same text in every version and for every client.
  p.text = cql::qualified(r.asked.text, r.text.bare, r.own);
  p.id = preparedId(p.text);
  r.statement->preparedId = p.id;
  if (PreparedRef known = texts_.find(p.id)) {
    const std::string& told = known->resultBodies[r.frame.version - cql::kLowest];
    if (!told.empty()) return r.answer(Opcode::result, told);
  }
  r.out.pending.preparing = std::move(p);
}

void StatementDecoder::execute(Reading& r) const {
  PreparedRef p = texts_.find(r.asked.id);
  if (!p) {
    std::string body = cql::errorBody(cql::kUnprepared,
                                      "an id that isn't known here: prepare it again");
    cql::addShortBytes(body, r.asked.id);
    return r.answer(Opcode::error, std::move(body));
  }
  r.text = p->read;
  r.statement->requiredTexts.push_back(p);
  r.statement->patches.push_back({r.asked.idAt, 2 + r.asked.id.size(), Statement::Put::id, p, {}});
}

void StatementDecoder::batch(Reading& r) const {
  cql::TextRead first;
  cql::Nature nature = r.asked.batchType == 2 ? cql::Nature::counter : cql::Nature::idempotent;
  if (r.asked.parts.empty()) return r.refuse(cql::kInvalid, "a batch of nothing");
  bool begun = false, system = false;
  for (const cql::Part& part : r.asked.parts) {
    if (part.prepared) {
      PreparedRef p = texts_.find(part.text);
      if (!p) {
        std::string body = cql::errorBody(cql::kUnprepared,
                                          "an id that isn't known here: prepare it again");
        cql::addShortBytes(body, part.text);
        return r.answer(Opcode::error, std::move(body));
      }
      r.text = p->read;
      if (std::find(r.statement->requiredTexts.begin(), r.statement->requiredTexts.end(), p) ==
          r.statement->requiredTexts.end())
        r.statement->requiredTexts.push_back(p);
      r.statement->patches.push_back({part.at, 2 + part.text.size(), Statement::Put::id, p, {}});
    } else {
      readOne(r, part.text, part.at + 4, r.asked.parameters.keyspace, *r.statement);
      if (r.whole) return;
    }
    cql::Kind k = r.text.kind;
    if (k != cql::Kind::write && k != cql::Kind::conditional && k != cql::Kind::counter)
      return r.refuse(cql::kInvalid, "only INSERT, UPDATE and DELETE in a batch");
    if (nature == cql::Nature::idempotent) nature = r.text.nature;
    system |= r.text.someSystem;
    if (!begun) first = r.text, begun = true;
  }
  r.text = std::move(first);
  r.text.kind = r.asked.batchType == 2 ? cql::Kind::counter : cql::Kind::batch;
  r.text.nature = nature;
  r.text.someSystem = system;
}

// The same names as in the comment of a statement of PostgreSQL's.
void StatementDecoder::payload(Reading& r) const {
  auto number = [&](std::string_view value, std::optional<std::int64_t>& to) {
    to = parseNumber<std::int64_t>(value);
    if (!to) r.refuse(cql::kInvalid, "a field of the payload can't be read");
  };
  for (const auto& [name, value] : r.asked.payload) {
    if (name == "id") r.received.id = value;
    if (name == "c") r.told.workload = value;
    if (name == "k") r.told.mark = value;
    if (name == "r") r.received.arrival.repeated = value == "1";
    if (name == "session") r.received.arrival.session = sessionOf(value);
    if (name == "tenant") {
      r.received.tenant = value.substr(0, request::kMaxTenantBytes);
      r.received.arrival.tenant = indexOf(names_.tenants, value);
      if (r.received.arrival.tenant < 0 && !names_.tenants.empty())
        return r.refuse(cql::kInvalid, "an unknown tenant");
    }
    if (name == "cluster") number(value, r.told.group);
    if (name == "after") number(value, r.afterMs);
    if (name == "d") {
      number(value, r.waitMs);
      std::size_t at = static_cast<std::size_t>(value.data() - r.frame.body.data());
      if (r.waitMs && value.size() > 0)
        r.statement->patches.push_back(
            {at - 4, 4 + value.size(), Statement::Put::wait, nullptr, {}});
    }
    if (r.whole) return;
  }
  if (r.waitMs && (*r.waitMs < 0 || *r.waitMs > kLongestWaitMs))
    return r.refuse(cql::kInvalid, "a wait that makes no sense");
  if (r.afterMs && (*r.afterMs < 0 || *r.afterMs > kLatestMs))
    return r.refuse(cql::kInvalid, "a position that makes no sense");
  // Of two open statements with the same id, the later would be taken for the earlier.
  if (!r.received.id.empty() && openIds_.contains(r.received.id))
    return r.refuse(cql::kInvalid, "an id that is open already");
}

void StatementDecoder::finish(Reading& r) const {
  // A paging state of another proxy, or one that was altered, would change what the read means.
  if (const auto& state = r.asked.parameters.pageState) {
    r.page = decodePagingState(*state);
    if (!r.page) return r.refuse(cql::kProtocolError, "a paging state that was not issued here");
    std::string bytes;
    cql::addBytes(bytes, r.page->state);
    r.statement->patches.push_back({r.asked.parameters.pageAt, r.asked.parameters.pageSpan,
                                    Statement::Put::bytes, nullptr, std::move(bytes)});
    r.told.nextPage = true, r.told.pagePosition = r.page->position;
  }
  if (r.text.systemTable || r.text.someSystem)
    return r.refuse(cql::kInvalid,
                    "the stores' own tables can only be read here, by a plain query");
  r.told.kind = r.text.kind, r.told.nature = r.text.nature;
  r.told.keyspace = r.text.keyspace, r.told.table = r.text.table;
  r.told.consistency = r.asked.parameters.consistency;
  MappedStatement placed;
  bool preparing = r.out.pending.preparing.has_value();
  auto why = preparing ? mapping_.mapPreparation(r.told, groups_, placed)
                       : mapping_.map(r.told, groups_, placed);
  if (why) return r.refuse(cql::kInvalid, *why);
  Arrival& a = r.received.arrival;
  a.workload = placed.workload, a.group = placed.group;
  r.received.idempotencyKey = request::idempotencyKeyOf(r.received.tenant, groups_.id(placed.group),
                                                        r.told.mark);
  r.received.timeout = r.waitMs         ? Duration{*r.waitMs * 1000}
                       : placed.timeout ? *placed.timeout
                                        : config_.timeout;
  // A commit's time is rounded up and may lie ahead of this clock; it is a write all the same.
  auto since = [&](WallTime position) { return r.now - r.wall.toSteady(position); };
  if (r.afterMs) a.sinceWrite = since(WallTime{*r.afterMs * 1000});
  if (r.told.pagePosition) {
    Duration page = since(*r.told.pagePosition);
    a.sinceWrite = a.sinceWrite ? std::min(*a.sinceWrite, page) : page;
  }
  std::sort(r.statement->patches.begin(), r.statement->patches.end(),
            [](const auto& x, const auto& y) { return x.at < y.at; });
  r.statement->opcode = r.frame.opcode;
  r.statement->flags = r.frame.flags & (cql::kTracing | cql::kPayload);
  r.statement->body = r.frame.body;
  r.out.pending.kind = r.text.kind;
  r.out.pending.batchType = r.asked.batchType;
  r.out.pending.consistency = r.told.consistency;
  r.received.payload = std::move(r.statement);
  r.out.statement = std::move(r.received);
}

DecodeResult StatementDecoder::decode(const Frame& f, const std::string& keyspace, TimePoint now,
                                      const runtime::WallClock& wall) const {
  Reading r{.frame = f,
            .keyspace = keyspace,
            .now = now,
            .wall = wall,
            .asked = {},
            .text = {},
            .own = {},
            .told = {},
            .page = {},
            .received = {},
            .waitMs = {},
            .afterMs = {},
            .out = {}};
  const char* why = "";
  if (!cql::readAsked(f, config_.batchMost, r.asked, why)) {
    r.refuse(cql::kProtocolError, why);
    return std::move(r.out);
  }
  switch (f.opcode) {
    case Opcode::query:
      query(r);
      break;
    case Opcode::prepare:
      prepare(r);
      break;
    case Opcode::execute:
      execute(r);
      break;
    default:
      batch(r);
  }
  if (!r.whole) payload(r);
  if (!r.whole) finish(r);
  return std::move(r.out);
}

}  // namespace reedchute::protocols::cassandra

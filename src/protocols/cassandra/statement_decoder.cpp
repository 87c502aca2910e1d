#include "protocols/cassandra/statement_decoder.h"

#include <algorithm>

#include "log/log.h"
#include "protocols/cassandra/payload_fields.h"
#include "request/idempotency_key.h"

namespace reedchute::protocols::cassandra {

namespace cql = reedchute::cql;
using cql::Frame;
using cql::Opcode;

namespace {

constexpr std::size_t kLongLengthBytes = 4;     // of a [long string] or [bytes]
constexpr std::size_t kShortLengthBytes = 2;    // of [short bytes], such as a prepared id
constexpr std::size_t kPatchReserveBytes = 64;  // reserved for growth by patches
constexpr std::uint8_t kCounterBatch = 2;       // type field of a BATCH

std::size_t offsetIn(const Frame& frame, std::string_view part) {
  return static_cast<std::size_t>(part.data() - frame.body.data());
}

// The index of `text` in `requiredTexts`, or their number if it isn't among them.
std::size_t indexOfText(const Statement& statement, const PreparedRef& text) {
  const std::vector<PreparedRef>& texts = statement.requiredTexts;
  return static_cast<std::size_t>(std::find(texts.begin(), texts.end(), text) - texts.begin());
}

// The error text for a statement text that can't be parsed; empty for one that can.
std::string_view errorOf(cql::TextState state) {
  switch (state) {
    case cql::TextState::good:
      return "";
    case cql::TextState::empty:
      return "an empty statement";
    case cql::TextState::several:
      return "several statements in one text";
    case cql::TextState::unclosed:
      return "an unterminated literal, comment, bracket or batch";
  }
  return "";
}

bool isAllowedInBatch(cql::Kind kind) {
  return kind == cql::Kind::write || kind == cql::Kind::conditional || kind == cql::Kind::counter;
}

}  // namespace

std::string encodeBody(const Statement& statement, std::int64_t timeLeftMs,
                       const std::vector<std::string>& ids) {
  std::string body;
  body.reserve(statement.body.size() + kPatchReserveBytes);
  std::size_t copied = 0;
  for (const Statement::Patch& patch : statement.patches) {
    body.append(statement.body, copied, patch.offset - copied);
    copied = patch.offset + patch.size;
    switch (patch.replacement) {
      case Statement::Replacement::timeLeft:
        cql::addBytes(body, std::to_string(timeLeftMs));
        break;
      case Statement::Replacement::preparedId:
        cql::addShortBytes(body, ids[indexOfText(statement, patch.text)]);
        break;
      case Statement::Replacement::bytes:
        body += patch.bytes;
        break;
    }
  }
  return body.append(statement.body, copied);
}

// The intermediate results of decoding one frame.
struct StatementDecoder::DecodeState {
  const Frame& frame;
  const std::string& sessionKeyspace;
  TimePoint now;
  const runtime::WallClock& wall;
  cql::StatementRequest asked = {};
  cql::ParsedText text = {};         // of a batch: its first statement
  std::string defaultKeyspace = {};  // for unqualified table names
  StatementDescription description = {};
  PayloadFields fields = {};
  std::optional<PagingState> paging = {};  // of a later page
  std::unique_ptr<Statement> statement = std::make_unique<Statement>();
  request::ReceivedStatement received = {};
  bool hasResponse = false;
  DecodeResult result = {};

  void refuse(std::int32_t code, std::string_view what) {
    log::line("bad_statement", "code=%04x what=\"%.*s\"", static_cast<unsigned>(code),
              static_cast<int>(what.size()), what.data());
    respond(Opcode::error, cql::errorBody(code, what));
  }

  void refuseUnprepared(std::string_view id) {
    std::string body = cql::errorBody(cql::kUnprepared,
                                      "unknown prepared statement id; prepare the statement again");
    cql::addShortBytes(body, id);
    respond(Opcode::error, std::move(body));
  }

  void respond(Opcode opcode, std::string body) {
    hasResponse = true;
    result.opcode = opcode;
    result.body = std::move(body);
  }
};

// `offset` is the position of `text` in the frame's body, after its length field.
void StatementDecoder::decodeText(DecodeState& state, std::string_view text,
                                  std::size_t offset) const {
  if (text.find('\0') != std::string_view::npos)
    return state.refuse(cql::kSyntaxError, "the statement contains a zero byte");
  cql::ParsedText read;
  std::string_view error = errorOf(cql::readText(text, read));
  if (!error.empty()) return state.refuse(cql::kSyntaxError, error);
  std::string_view named = state.asked.parameters.keyspace;
  state.defaultKeyspace = named.empty() ? state.sessionKeyspace : std::string(named);
  if (!read.unqualifiedOffsets.empty() && read.kind != cql::Kind::use) {
    qualifyNames(state, text, offset, read);
    if (state.hasResponse) return;
  }
  state.text = std::move(read);
}

// Adds the default keyspace to the unqualified table names in the body and in `read`.
void StatementDecoder::qualifyNames(DecodeState& state, std::string_view text, std::size_t offset,
                                    cql::ParsedText& read) const {
  if (state.defaultKeyspace.empty())
    return state.refuse(cql::kInvalid, "no keyspace: qualify the table name or send USE first");
  // Connections to stores are shared by clients with different keyspaces, so unqualified names are
  // qualified with the session's keyspace. A keyspace in the query's parameters (version 5) is
  // forwarded in them.
  if (state.asked.parameters.keyspace.empty()) {
    std::string bytes;
    cql::addLongString(bytes,
                       cql::qualifyTables(text, read.unqualifiedOffsets, state.defaultKeyspace));
    state.statement->patches.push_back({.offset = offset - kLongLengthBytes,
                                        .size = kLongLengthBytes + text.size(),
                                        .replacement = Statement::Replacement::bytes,
                                        .text = nullptr,
                                        .bytes = std::move(bytes)});
  }
  if (read.keyspace.empty()) read.keyspace = state.defaultKeyspace;
  read.isSystemTable = cql::isSystemKeyspace(read.keyspace);
  if (cql::isSystemKeyspace(state.defaultKeyspace)) read.usesSystemTable = true;
}

void StatementDecoder::decodeQuery(DecodeState& state) const {
  decodeText(state, state.asked.text, offsetIn(state.frame, state.asked.text));
  if (state.hasResponse) return;
  if (state.text.kind == cql::Kind::use) {
    if (!system_.knowsKeyspace(state.text.keyspace))
      return state.refuse(cql::kInvalid, "unknown keyspace: no mapping contains it");
    state.result.useKeyspace = state.text.keyspace;
    return state.respond(Opcode::result, cql::setKeyspaceBody(state.text.keyspace));
  }
  if (!state.text.isSystemTable) return;
  std::string_view error;
  std::optional<std::string> body = system_.resultBody(state.text, state.asked.text, error);
  if (!body) return state.refuse(cql::kInvalid, error);
  state.respond(Opcode::result, std::move(*body));
}

void StatementDecoder::decodePrepare(DecodeState& state) const {
  decodeText(state, state.asked.text, offsetIn(state.frame, state.asked.text));
  if (state.hasResponse) return;
  if (state.text.kind == cql::Kind::use)
    return state.refuse(cql::kInvalid, "a USE statement can't be prepared");
  PreparedText prepared;
  prepared.read = state.text;
  // With qualified names the text is the same for every protocol version and every client.
  prepared.text = cql::qualifyTables(state.asked.text, state.text.unqualifiedOffsets,
                                     state.defaultKeyspace);
  prepared.id = preparedId(prepared.text);
  state.statement->preparedId = prepared.id;
  if (PreparedRef known = texts_.find(prepared.id)) {
    const std::string& body = known->resultBodies[state.frame.version - cql::kLowestVersion];
    if (!body.empty()) return state.respond(Opcode::result, body);
  }
  state.result.pending.preparing = std::move(prepared);
}

void StatementDecoder::decodeExecute(DecodeState& state) const {
  usePreparedText(state, state.asked.id, state.asked.idOffset);
}

// `offset` is the position of the length field of `id` in the frame's body.
void StatementDecoder::usePreparedText(DecodeState& state, std::string_view id,
                                       std::size_t offset) const {
  PreparedRef prepared = texts_.find(id);
  if (!prepared) return state.refuseUnprepared(id);
  state.text = prepared->read;
  Statement& statement = *state.statement;
  bool isRequired = indexOfText(statement, prepared) < statement.requiredTexts.size();
  if (!isRequired) statement.requiredTexts.push_back(prepared);
  statement.patches.push_back({.offset = offset,
                               .size = kShortLengthBytes + id.size(),
                               .replacement = Statement::Replacement::preparedId,
                               .text = prepared,
                               .bytes = {}});
}

void StatementDecoder::decodeBatchPart(DecodeState& state, const cql::BatchStatement& part) const {
  if (part.isPrepared)
    usePreparedText(state, part.text, part.offset);
  else
    decodeText(state, part.text, part.offset + kLongLengthBytes);
  if (state.hasResponse) return;
  if (!isAllowedInBatch(state.text.kind))
    state.refuse(cql::kInvalid, "only INSERT, UPDATE and DELETE in a batch");
}

// A batch is mapped by the table of its first statement. Its nature is the first one among its
// statements that isn't idempotent.
void StatementDecoder::decodeBatch(DecodeState& state) const {
  const std::vector<cql::BatchStatement>& parts = state.asked.batchStatements;
  if (parts.empty()) return state.refuse(cql::kInvalid, "an empty batch");
  bool isCounter = state.asked.batchType == kCounterBatch;
  cql::Nature nature = isCounter ? cql::Nature::counter : cql::Nature::idempotent;
  bool hasSystemTable = false;
  cql::ParsedText first;
  for (const cql::BatchStatement& part : parts) {
    decodeBatchPart(state, part);
    if (state.hasResponse) return;
    if (nature == cql::Nature::idempotent) nature = state.text.nature;
    if (state.text.usesSystemTable) hasSystemTable = true;
    if (&part == &parts.front()) first = state.text;
  }
  state.text = std::move(first);
  state.text.kind = isCounter ? cql::Kind::counter : cql::Kind::batch;
  state.text.nature = nature;
  state.text.usesSystemTable = hasSystemTable;
}

void StatementDecoder::decodePayload(DecodeState& state) const {
  PayloadFields& fields = state.fields;
  if (auto error = readPayloadFields(state.asked.payload, names_, fields))
    return state.refuse(cql::kInvalid, *error);
  for (std::string_view value : fields.timeoutValues)
    state.statement->patches.push_back({.offset = offsetIn(state.frame, value) - kLongLengthBytes,
                                        .size = kLongLengthBytes + value.size(),
                                        .replacement = Statement::Replacement::timeLeft,
                                        .text = nullptr,
                                        .bytes = {}});
  state.received.id = fields.id;
  state.received.tenant = fields.tenantName;
  state.received.arrival.tenant = fields.tenant;
  state.received.arrival.session = fields.session;
  state.received.arrival.repeated = fields.isRetry;
  state.description.workload = fields.workload;
  state.description.idempotencyKey = fields.idempotencyKey;
  state.description.group = fields.group;
  // A statement with the id of another open one would be mistaken for it.
  if (!state.received.id.empty() && openIds_.contains(state.received.id))
    state.refuse(cql::kInvalid, "the id is used by another open statement");
}

void StatementDecoder::decodePaging(DecodeState& state) const {
  const cql::Parameters& parameters = state.asked.parameters;
  if (!parameters.pageState) return;
  // A paging state that no proxy issued, or that was modified, could change the meaning of the
  // read.
  std::optional<PagingState> paging = decodePagingState(*parameters.pageState);
  if (!paging)
    return state.refuse(cql::kProtocolError,
                        "the paging state was not issued by the proxy or was modified");
  std::string bytes;
  cql::addBytes(bytes, paging->state);
  state.statement->patches.push_back({.offset = parameters.pageStateOffset,
                                      .size = parameters.pageStateSize,
                                      .replacement = Statement::Replacement::bytes,
                                      .text = nullptr,
                                      .bytes = std::move(bytes)});
  state.paging = std::move(paging);
}

void StatementDecoder::mapStatement(DecodeState& state) const {
  if (state.text.isSystemTable || state.text.usesSystemTable)
    return state.refuse(cql::kInvalid, "system tables only support SELECT in a QUERY");
  StatementDescription& description = state.description;
  description.kind = state.text.kind;
  description.nature = state.text.nature;
  description.keyspace = state.text.keyspace;
  description.table = state.text.table;
  description.consistency = state.asked.parameters.consistency;
  MappedStatement mapped;
  bool isPreparation = state.result.pending.preparing.has_value();
  auto error = isPreparation ? mapping_.mapPreparation(description, groups_, mapped)
                             : mapping_.map(description, groups_, mapped);
  if (error) return state.refuse(cql::kInvalid, *error);
  request::ReceivedStatement& received = state.received;
  received.arrival.workload = mapped.workload;
  received.arrival.group = mapped.group;
  received.idempotencyKey = request::idempotencyKeyOf(received.tenant, groups_.id(mapped.group),
                                                      state.fields.idempotencyKey);
  received.timeout = mapped.timeout.value_or(config_.timeout);
  if (state.fields.timeoutMs) received.timeout = Duration{*state.fields.timeoutMs * 1000};
}

// Sets what the statement must see beside what its workload's level asks for: the client's last
// write, and the data of the previous page.
void StatementDecoder::setFreshness(DecodeState& state) const {
  Arrival& arrival = state.received.arrival;
  // A commit time is rounded up and may be ahead of this clock, which makes the difference
  // negative; it still counts as a write.
  if (state.fields.afterMs)
    arrival.sinceWrite = state.now - state.wall.toSteady(WallTime{*state.fields.afterMs * 1000});
  bool isLaterPage = state.text.kind == cql::Kind::read && state.paging && state.paging->position;
  if (!isLaterPage) return;
  state.result.pending.precedingPosition = state.paging->position;
  state.received.precedingPosition = state.paging->position;
  arrival.precedingRead = {.position = state.wall.toSteady(*state.paging->position),
                           .store = storeHashes_.find(state.paging->storeHash)};
}

void StatementDecoder::finish(DecodeState& state) const {
  Statement& statement = *state.statement;
  std::sort(statement.patches.begin(), statement.patches.end(),
            [](const auto& left, const auto& right) { return left.offset < right.offset; });
  statement.opcode = state.frame.opcode;
  statement.flags = state.frame.flags & (cql::kTracing | cql::kPayload);
  statement.body = state.frame.body;
  Pending& pending = state.result.pending;
  pending.kind = state.text.kind;
  pending.batchType = state.asked.batchType;
  pending.consistency = state.description.consistency;
  state.received.payload = std::move(state.statement);
  state.result.statement = std::move(state.received);
}

void StatementDecoder::decodeByOpcode(DecodeState& state) const {
  switch (state.frame.opcode) {
    case Opcode::query:
      return decodeQuery(state);
    case Opcode::prepare:
      return decodePrepare(state);
    case Opcode::execute:
      return decodeExecute(state);
    default:
      return decodeBatch(state);
  }
}

DecodeResult StatementDecoder::decode(const Frame& frame, const std::string& keyspace,
                                      TimePoint now, const runtime::WallClock& wall) const {
  DecodeState state{.frame = frame, .sessionKeyspace = keyspace, .now = now, .wall = wall};
  const char* error = "";
  if (!cql::readStatementRequest(frame, config_.maxBatchStatements, state.asked, error)) {
    state.refuse(cql::kProtocolError, error);
    return std::move(state.result);
  }
  using Step = void (StatementDecoder::*)(DecodeState&) const;
  constexpr Step kSteps[] = {&StatementDecoder::decodeByOpcode, &StatementDecoder::decodePayload,
                             &StatementDecoder::decodePaging,   &StatementDecoder::mapStatement,
                             &StatementDecoder::setFreshness,   &StatementDecoder::finish};
  for (Step step : kSteps) {
    (this->*step)(state);
    if (state.hasResponse) break;
  }
  return std::move(state.result);
}

}  // namespace reedchute::protocols::cassandra

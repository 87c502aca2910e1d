// Cassandra's protocol for the simulated stores, from its public specifications. See toy.h.
#include <algorithm>

#include "codec/cql/framing.h"
#include "codec/cql/reply.h"
#include "codec/cql/request.h"
#include "codec/cql/text.h"
#include "toy.h"

namespace reedchute::toy {

namespace cql = reedchute::cql;

namespace {

constexpr std::size_t kMaxBufferBytes = 4 << 20;
constexpr std::size_t kStallSegmentBytes = 10'000;
constexpr std::size_t kStallTailBytes = 1'000;  // never sent

// The body of a result with one row of one text column. `nextPage` is its paging state, or empty if
// there is no further page.
std::string rowBody(const std::string& value, const std::string& nextPage) {
  std::string body = cql::rowsBody("weather", "entries", {{"payload"}}, {{value}});
  if (nextPage.empty()) return body;
  // The flags are at byte 4, the paging state follows the column count.
  body[7] = static_cast<char>(body[7] | 2);
  std::string state;
  cql::addBytes(state, nextPage);
  return body.insert(12, state);
}

std::string idempotencyKeyOf(const cql::BytesMap& payload) {
  return std::string(cql::valueOf(payload, "k"));
}

}  // namespace

struct Toy::CqlConnection {
  CqlConnection(std::unique_ptr<runtime::Socket> s)
      : socket(std::move(s)), framing(kMaxBufferBytes) {}
  std::unique_ptr<runtime::Socket> socket;
  cql::Framing framing;
  std::string in, out;
  int version = 4;
  bool writing = false, started = false;
};

struct Toy::CqlRequest {
  std::int16_t stream = 0;
  cql::Opcode opcode = cql::Opcode::query;
  std::string id, key, idempotencyKey, text;
  std::string page;  // paging state received from the client
  bool write = false, schema = false;
};

void Toy::enableCql(int number, std::uint16_t port) {
  Store& s = *stores_[static_cast<std::size_t>(number)];
  sockaddr_in address = *runtime::parseAddress("127.0.0.1:" + std::to_string(port), true);
  s.cqlListener = std::make_unique<runtime::Descriptor>(scheduler_, runtime::openListener(address));
  s.cqlPort = static_cast<std::uint16_t>(runtime::localPort(s.cqlListener->fd()));
  startAcceptingCql(number);
}

void Toy::startAcceptingCql(int number) {
  scheduler_.spawn(
      accept(*stores_[static_cast<std::size_t>(number)]->cqlListener,
             [this, number](auto socket) { return serveCql(number, std::move(socket)); }));
}

runtime::Task<> Toy::writeCql(std::shared_ptr<CqlConnection> connection) {
  while (!connection->out.empty()) {
    std::string output = std::exchange(connection->out, {});
    bool sent = co_await runtime::writeAll(*connection->socket, output, kForever);
    if (!sent) break;
  }
  connection->writing = false;
}

// Handles the words of executeStatement() and, in Cassandra's protocol only: ran (a server error
// after the write took effect), writetimeout, unasked (an answer on another stream), pages<N> and
// stall<N> (all of a row of N bytes but its end, on connections without compression).
runtime::Task<> Toy::respondCql(int number, std::shared_ptr<CqlConnection> connection,
                                CqlRequest request) {
  Store& store = *stores_[static_cast<std::size_t>(number)];
  WallTime readAt = positionOf(store);
  auto put = [&](cql::Opcode o, const std::string& body, bool hasReport = true,
                 std::int16_t onStream = -2) {
    std::string whole;
    if (hasReport) {
      std::string position = std::to_string(readAt.us / 1000);
      cql::BytesMap state = {{"server_role", store.primary ? "writer" : "reader"}};
      if (store.statesPosition) state.emplace_back("commit_clock", position);
      cql::addBytesMap(whole, state);
    }
    whole += body;
    connection->framing.put(connection->out, true, connection->version,
                            hasReport ? cql::kPayload : 0,
                            onStream == -2 ? request.stream : onStream, o, whole);
    if (!std::exchange(connection->writing, true)) scheduler_.spawn(writeCql(connection));
  };
  auto rejectStatement = [&](const char* why) {
    std::string body;
    cql::addBytesMap(body, {{"turned", why}, {"server_role", store.primary ? "writer" : "reader"}});
    body += cql::errorBody(cql::kUnavailable, "turned away");
    cql::addShort(body, 1), cql::addInt(body, 1), cql::addInt(body, 0);
    connection->framing.put(connection->out, true, connection->version, cql::kPayload,
                            request.stream, cql::Opcode::error, body);
    if (!std::exchange(connection->writing, true)) scheduler_.spawn(writeCql(connection));
  };
  Execution execution = beginExecution(number, request.id, request.key, request.write,
                                       request.idempotencyKey, request.text);
  std::string behavior = execution.behavior;
  if (!request.write) onCqlRead(number, request.id);
  if (behavior == "slow") {
    co_await runtime::sleepUntil(scheduler_,
                                 scheduler_.now() + Duration{execution.argument * 1000});
    behavior = "ok";
  }
  if (behavior == "die") kill(number);
  if (!connection->socket->isOpen()) co_return;
  std::string value = "value of " + execution.key;
  if (execution.isMisdirectedWrite) {
    rejectStatement("role");
  } else if (behavior == "miss" || behavior == "stale") {
    rejectStatement("behind");
  } else if (behavior == "full") {
    put(cql::Opcode::error, cql::errorBody(cql::kOverloaded, "the queue is full"));
  } else if (behavior == "away") {
    put(cql::Opcode::error, cql::errorBody(cql::kBootstrapping, "not now"));
  } else if (behavior == "error" || behavior == "ran") {
    put(cql::Opcode::error, cql::errorBody(cql::kServerError, "it went wrong"));
  } else if (behavior == "writetimeout") {
    std::string body = cql::errorBody(cql::kWriteTimeout, "no answer from a replica");
    cql::addShort(body, 1), cql::addInt(body, 0), cql::addInt(body, 1),
        cql::addString(body, "SIMPLE");
    put(cql::Opcode::error, body);
  } else if (behavior == "wrong") {
    put(cql::Opcode::error, cql::errorBody(cql::kSyntaxError, "no such words"));
  } else if (behavior == "break" || behavior == "die") {
    connection->socket->close();
  } else if (behavior == "silent") {
    addSilentExecution(request.id, *connection->socket);
  } else if (behavior == "half") {
    std::string whole;
    connection->framing.put(whole, true, connection->version, 0, request.stream,
                            cql::Opcode::result, rowBody(std::string(1000, 'x'), ""));
    connection->out += whole.substr(0, 300);
    connection->writing = true;
    co_await writeCql(connection);
    connection->socket->close();
  } else if (behavior == "garbage") {
    connection->out += "\x01\xff\xff\xff\xff garbage";
    if (!std::exchange(connection->writing, true)) scheduler_.spawn(writeCql(connection));
  } else if (behavior == "long") {
    cql::addHeader(connection->out, true, connection->version, 0, request.stream,
                   cql::Opcode::result, 0x7f000000);
    if (!std::exchange(connection->writing, true)) scheduler_.spawn(writeCql(connection));
  } else if (behavior == "twice") {
    put(cql::Opcode::result, rowBody(value, ""));
    put(cql::Opcode::result, rowBody(value, ""));
  } else if (behavior == "unasked") {
    put(cql::Opcode::result, rowBody(value, ""), true, 77);
  } else if (behavior == "longer") {
    std::string body = rowBody(value, "");
    body.resize(body.size() - 3);
    put(cql::Opcode::result, body);
  } else if (behavior == "big") {
    put(cql::Opcode::result,
        rowBody(std::string(static_cast<std::size_t>(execution.argument), 'b'), ""));
  } else if (behavior == "stall") {
    std::string body = rowBody(std::string(static_cast<std::size_t>(execution.argument), 's'), "");
    std::string frame = cql::encodeFrame(true, connection->version, 0, request.stream,
                                         cql::Opcode::result, body);
    frame.resize(frame.size() - kStallTailBytes);
    if (connection->framing.usesSegments())
      cql::addSegments(connection->out, frame, kStallSegmentBytes, false);
    else
      connection->out += frame;
    if (!std::exchange(connection->writing, true)) scheduler_.spawn(writeCql(connection));
  } else if (behavior.starts_with("pages")) {
    // pages<N>: a result of N pages; the paging state is the number of the next page.
    int pages = std::atoi(behavior.c_str() + 5),
        page = request.page.empty() ? 1 : std::atoi(request.page.c_str());
    put(cql::Opcode::result, rowBody("page " + std::to_string(page),
                                     page < pages ? std::to_string(page + 1) : std::string()));
  } else if (request.schema) {
    std::string body;
    cql::addInt(body, 5);
    for (const char* part : {"CREATED", "TABLE", "weather", "entries"}) cql::addString(body, part);
    put(cql::Opcode::result, body);
  } else if (request.write) {
    std::string body;
    cql::addInt(body, 1);
    put(cql::Opcode::result, body);
  } else {
    put(cql::Opcode::result, rowBody(value, ""));
  }
}

// Handles one frame. Returns false if no complete frame is available or the connection was closed.
bool Toy::handleCqlFrame(int number, const std::shared_ptr<CqlConnection>& connection,
                         std::size_t& used) {
  Store& store = *stores_[static_cast<std::size_t>(number)];
  cql::Frame f;
  cql::Framed got = connection->framing.next(connection->in, used, f);
  if (got == cql::Framed::bad) connection->socket->close();
  if (got != cql::Framed::whole) return false;
  auto put = [&](cql::Opcode o, const std::string& body) {
    connection->framing.put(connection->out, true, f.version, 0, f.stream, o, body);
    if (!std::exchange(connection->writing, true)) scheduler_.spawn(writeCql(connection));
  };
  if (f.opcode == cql::Opcode::startup) {
    cql::StartupOptions start;
    if (!cql::readStartup(f.body, start)) return connection->socket->close(), false;
    connection->version = f.version;
    put(cql::Opcode::ready, {});
    if (start.compression == "lz4") connection->framing.enableCompression();
    if (f.version >= 5) connection->framing.enableSegments();
    return true;
  }
  if (f.opcode == cql::Opcode::options) {
    double position = (positionOf(store) - WallTime{}).seconds();
    put(cql::Opcode::supported, cql::multimapBody({{"CQL_VERSION", {"3.4.5"}},
                                                   {"USAGE",
                                                    {"x0=" + std::to_string(position) +
                                                     ",x1=" + (store.primary ? "1" : "0")}}}));
    return true;
  }
  cql::StatementRequest asked;
  const char* why = "";
  if (!cql::readStatementRequest(f, 1000, asked, why)) {
    put(cql::Opcode::error, cql::errorBody(cql::kProtocolError, why));
    return true;
  }
  cql::ParsedText read;
  if (f.opcode == cql::Opcode::prepare) {
    // Each store assigns its own ids to prepared texts.
    std::string text(asked.text),
        id = "p" + std::to_string(number) + "-" + std::to_string(std::hash<std::string>{}(text));
    store.prepared[id] = text;
    ++store.prepareCount;
    cql::readText(text, read);
    std::string body;
    cql::addInt(body, 4), cql::addShortBytes(body, id);
    if (f.version >= 5) cql::addShortBytes(body, "r" + id);
    cql::addInt(body, 1), cql::addInt(body, read.markers), cql::addInt(body, 0);
    cql::addString(body, "weather"), cql::addString(body, "entries");
    for (int k = 0; k < read.markers; ++k)
      cql::addString(body, "m" + std::to_string(k)), cql::addShort(body, 0x000d);
    bool rows = read.kind == cql::Kind::read;
    cql::addInt(body, rows ? 1 : 4), cql::addInt(body, rows ? 1 : 0);
    if (rows)
      cql::addString(body, "weather"), cql::addString(body, "entries"),
          cql::addString(body, "payload"), cql::addShort(body, 0x000d);
    put(cql::Opcode::result, body);
    return true;
  }
  CqlRequest request;
  request.stream = f.stream;
  request.opcode = f.opcode;
  auto unknown = [&](std::string_view id) {
    std::string body = cql::errorBody(cql::kUnprepared, "not prepared here");
    cql::addShortBytes(body, id);
    put(cql::Opcode::error, body);
    return true;
  };
  std::string_view first = asked.text;
  if (f.opcode == cql::Opcode::execute) {
    auto it = store.prepared.find(std::string(asked.id));
    if (it == store.prepared.end()) return unknown(asked.id);
    first = it->second;
  }
  for (const cql::BatchStatement& part : asked.batchStatements) {
    if (!part.isPrepared) continue;
    auto it = store.prepared.find(std::string(part.text));
    if (it == store.prepared.end()) return unknown(part.text);
  }
  if (f.opcode == cql::Opcode::batch) {
    const cql::BatchStatement& part = asked.batchStatements.front();
    first = part.isPrepared ? std::string_view(store.prepared.find(std::string(part.text))->second)
                            : part.text;
  }
  request.text = first;
  cql::readText(request.text, read);
  request.key = read.firstLiteral;
  if (request.key.empty()) {
    // The key is the first bound value, which follows id (or text), consistency, flags and count.
    std::size_t at = f.opcode == cql::Opcode::execute ? asked.idOffset + 2 + asked.id.size() : 0;
    if (f.opcode == cql::Opcode::execute && f.version >= 5) at += 2 + asked.resultId.size();
    at += 2 + (f.version >= 5 ? 4 : 1) + 2;
    if (f.opcode == cql::Opcode::batch)
      at = asked.batchStatements.front().offset + 2 + asked.batchStatements.front().text.size() + 2;
    if (at < f.body.size()) {
      cql::Cursor c(f.body.substr(at));
      request.key = c.bytes().value_or(std::string_view{});
    }
  }
  request.write = read.kind != cql::Kind::read;
  request.schema = read.kind == cql::Kind::schema;
  request.id = cql::valueOf(asked.payload, "id");
  request.idempotencyKey = idempotencyKeyOf(asked.payload);
  request.page = asked.parameters.pageState.value_or(std::string_view{});
  scheduler_.spawn(respondCql(number, connection, std::move(request)));
  return true;
}

runtime::Task<> Toy::serveCql(int number, std::unique_ptr<runtime::Socket> owned) {
  Store& store = *stores_[static_cast<std::size_t>(number)];
  auto connection = std::make_shared<CqlConnection>(std::move(owned));
  runtime::Socket& s = *connection->socket;
  store.connections.push_back(&s);
  while (s.isOpen()) {
    std::size_t used = 0;
    if (!store.held && handleCqlFrame(number, connection, used)) {
      connection->in.erase(0, used);
      continue;
    }
    connection->in.erase(0, used);
    runtime::Socket::ReadStatus got = s.read(connection->in, kMaxBufferBytes);
    if (got == runtime::Socket::ReadStatus::closed) break;
    if (got == runtime::Socket::ReadStatus::noData) co_await s.readable.wait();
  }
  std::erase(store.connections, &s);
  removeSilentExecutions(s);
  s.close();
}

}  // namespace reedchute::toy

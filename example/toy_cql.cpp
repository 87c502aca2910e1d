// The toy's stores in Cassandra's protocol, from its public specifications. See toy.h.
#include <algorithm>

#include "codec/cql/framing.h"
#include "codec/cql/reply.h"
#include "codec/cql/request.h"
#include "codec/cql/text.h"
#include "toy.h"

namespace reedchute::toy {

namespace cql = reedchute::cql;

namespace {

constexpr std::size_t kMost = 4 << 20;

// A row's worth: one column of text, with the state of the next page where there is one.
std::string rowBody(const std::string& value, const std::string& nextPage) {
  std::string body = cql::rowsBody("weather", "entries", {{"payload"}}, {{value}});
  if (nextPage.empty()) return body;
  // flags at byte 4, the paging state behind the column count
  body[7] = static_cast<char>(body[7] | 2);
  std::string state;
  cql::addBytes(state, nextPage);
  return body.insert(12, state);
}

std::string markOf(const cql::BytesMap& payload) {
  return std::string(cql::valueOf(payload, "k"));
}

}  // namespace

struct Toy::CqlLink {
  CqlLink(std::unique_ptr<runtime::Socket> s) : socket(std::move(s)), framing(kMost) {}
  std::unique_ptr<runtime::Socket> socket;
  cql::Framing framing;
  std::string in, out;
  int version = 4;
  bool writing = false, started = false;
};

struct Toy::CqlAsked {
  std::int16_t stream = 0;
  cql::Opcode opcode = cql::Opcode::query;
  std::string id, key, mark, text;
  std::string page;  // the state that came
  bool write = false, schema = false;
};

void Toy::speakCql(int number, std::uint16_t port) {
  Store& s = *stores_[static_cast<std::size_t>(number)];
  sockaddr_in address = *runtime::parseAddress("127.0.0.1:" + std::to_string(port), true);
  s.cqlListener = std::make_unique<runtime::Descriptor>(scheduler_, runtime::openListener(address));
  s.cqlPort = static_cast<std::uint16_t>(runtime::localPort(s.cqlListener->fd()));
  acceptCql(number);
}

void Toy::acceptCql(int number) {
  scheduler_.spawn(
      accept(*stores_[static_cast<std::size_t>(number)]->cqlListener,
             [this, number](auto socket) { return serveCql(number, std::move(socket)); }));
}

runtime::Task<> Toy::writeCql(std::shared_ptr<CqlLink> link) {
  while (!link->out.empty()) {
    std::string going = std::exchange(link->out, {});
    bool sent = co_await runtime::writeAll(*link->socket, going, kForever);
    if (!sent) break;
  }
  link->writing = false;
}

runtime::Task<> Toy::answerCql(int number, std::shared_ptr<CqlLink> link, CqlAsked asked) {
  Store& store = *stores_[static_cast<std::size_t>(number)];
  auto put = [&](cql::Opcode o, const std::string& body, bool tells = true,
                 std::int16_t onStream = -2) {
    std::string whole;
    if (tells) {
      std::string position = std::to_string(positionOf(store).us / 1000);
      cql::addBytesMap(whole, {{"server_role", store.primary ? "writer" : "reader"},
                               {"commit_clock", position}});
    }
    whole += body;
    link->framing.put(link->out, true, link->version, tells ? cql::kPayload : 0,
                      onStream == -2 ? asked.stream : onStream, o, whole);
    if (!std::exchange(link->writing, true)) scheduler_.spawn(writeCql(link));
  };
  auto turned = [&](const char* why) {
    std::string body;
    cql::addBytesMap(body, {{"turned", why}, {"server_role", store.primary ? "writer" : "reader"}});
    body += cql::errorBody(cql::kUnavailable, "turned away");
    cql::addShort(body, 1), cql::addInt(body, 1), cql::addInt(body, 0);
    link->framing.put(link->out, true, link->version, cql::kPayload, asked.stream,
                      cql::Opcode::error, body);
    if (!std::exchange(link->writing, true)) scheduler_.spawn(writeCql(link));
  };
  Deed deed = begin(number, asked.id, asked.key, asked.write, asked.mark, asked.text);
  std::string word = deed.word;
  if (word == "slow") {
    co_await runtime::sleepUntil(scheduler_, scheduler_.now() + Duration{deed.number * 1000});
    word = "ok";
  }
  if (word == "die") kill(number);
  if (!link->socket->isOpen()) co_return;
  std::string value = "value of " + deed.key;
  if (deed.misplaced) {
    turned("role");
  } else if (word == "miss" || word == "stale") {
    turned("behind");
  } else if (word == "full") {
    put(cql::Opcode::error, cql::errorBody(cql::kOverloaded, "the queue is full"));
  } else if (word == "away") {
    put(cql::Opcode::error, cql::errorBody(cql::kBootstrapping, "not now"));
  } else if (word == "error" || word == "ran") {
    put(cql::Opcode::error, cql::errorBody(cql::kServerError, "it went wrong"));
  } else if (word == "writetimeout") {
    std::string body = cql::errorBody(cql::kWriteTimeout, "no answer from a replica");
    cql::addShort(body, 1), cql::addInt(body, 0), cql::addInt(body, 1),
        cql::addString(body, "SIMPLE");
    put(cql::Opcode::error, body);
  } else if (word == "wrong") {
    put(cql::Opcode::error, cql::errorBody(cql::kSyntaxError, "no such words"));
  } else if (word == "break" || word == "die") {
    link->socket->close();
  } else if (word == "silent") {
  } else if (word == "half") {
    std::string whole;
    link->framing.put(whole, true, link->version, 0, asked.stream, cql::Opcode::result,
                      rowBody(std::string(1000, 'x'), ""));
    link->out += whole.substr(0, 300);
    link->writing = true;
    co_await writeCql(link);
    link->socket->close();
  } else if (word == "garbage") {
    link->out += "\x01\xff\xff\xff\xff garbage";
    if (!std::exchange(link->writing, true)) scheduler_.spawn(writeCql(link));
  } else if (word == "long") {
    cql::addHeader(link->out, true, link->version, 0, asked.stream, cql::Opcode::result,
                   0x7f000000);
    if (!std::exchange(link->writing, true)) scheduler_.spawn(writeCql(link));
  } else if (word == "twice") {
    put(cql::Opcode::result, rowBody(value, ""));
    put(cql::Opcode::result, rowBody(value, ""));
  } else if (word == "unasked") {
    put(cql::Opcode::result, rowBody(value, ""), true, 77);
  } else if (word == "longer") {
    std::string body = rowBody(value, "");
    body.resize(body.size() - 3);
    put(cql::Opcode::result, body);
  } else if (word == "big") {
    put(cql::Opcode::result, rowBody(std::string(static_cast<std::size_t>(deed.number), 'b'), ""));
  } else if (word.starts_with("pages")) {
    // pages<N>: so many pages; the state is the number of the next.
    int pages = std::atoi(word.c_str() + 5),
        page = asked.page.empty() ? 1 : std::atoi(asked.page.c_str());
    put(cql::Opcode::result, rowBody("page " + std::to_string(page),
                                     page < pages ? std::to_string(page + 1) : std::string()));
  } else if (asked.schema) {
    std::string body;
    cql::addInt(body, 5);
    for (const char* part : {"CREATED", "TABLE", "weather", "entries"}) cql::addString(body, part);
    put(cql::Opcode::result, body);
  } else if (asked.write) {
    std::string body;
    cql::addInt(body, 1);
    put(cql::Opcode::result, body);
  } else {
    put(cql::Opcode::result, rowBody(value, ""));
  }
}

// Takes one frame, if a whole one is there; false where there is none or the connection is to end.
bool Toy::takeCql(int number, const std::shared_ptr<CqlLink>& link, std::size_t& used) {
  Store& store = *stores_[static_cast<std::size_t>(number)];
  cql::Frame f;
  cql::Framed got = link->framing.next(link->in, used, f);
  if (got == cql::Framed::bad) link->socket->close();
  if (got != cql::Framed::whole) return false;
  auto put = [&](cql::Opcode o, const std::string& body) {
    link->framing.put(link->out, true, f.version, 0, f.stream, o, body);
    if (!std::exchange(link->writing, true)) scheduler_.spawn(writeCql(link));
  };
  if (f.opcode == cql::Opcode::startup) {
    cql::StartupOptions start;
    if (!cql::readStartup(f.body, start)) return link->socket->close(), false;
    link->version = f.version;
    put(cql::Opcode::ready, {});
    if (start.compression == "lz4") link->framing.enableCompression();
    if (f.version >= 5) link->framing.enableSegments();
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
    // Each store has its own id for a text.
    std::string text(asked.text),
        id = "p" + std::to_string(number) + "-" + std::to_string(std::hash<std::string>{}(text));
    store.prepared[id] = text;
    ++store.preparedTimes;
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
  CqlAsked one;
  one.stream = f.stream;
  one.opcode = f.opcode;
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
  one.text = first;
  cql::readText(one.text, read);
  one.key = read.firstLiteral;
  if (one.key.empty()) {
    // The first bound value, behind id (or text), consistency, flags and count.
    std::size_t at = f.opcode == cql::Opcode::execute ? asked.idOffset + 2 + asked.id.size() : 0;
    if (f.opcode == cql::Opcode::execute && f.version >= 5) at += 2 + asked.resultId.size();
    at += 2 + (f.version >= 5 ? 4 : 1) + 2;
    if (f.opcode == cql::Opcode::batch)
      at = asked.batchStatements.front().offset + 2 + asked.batchStatements.front().text.size() + 2;
    if (at < f.body.size()) {
      cql::Cursor c(f.body.substr(at));
      one.key = c.bytes().value_or(std::string_view{});
    }
  }
  one.write = read.kind != cql::Kind::read;
  one.schema = read.kind == cql::Kind::schema;
  one.id = cql::valueOf(asked.payload, "id");
  one.mark = markOf(asked.payload);
  one.page = asked.parameters.pageState.value_or(std::string_view{});
  scheduler_.spawn(answerCql(number, link, std::move(one)));
  return true;
}

runtime::Task<> Toy::serveCql(int number, std::unique_ptr<runtime::Socket> owned) {
  Store& store = *stores_[static_cast<std::size_t>(number)];
  auto link = std::make_shared<CqlLink>(std::move(owned));
  runtime::Socket& s = *link->socket;
  store.connections.push_back(&s);
  while (s.isOpen()) {
    std::size_t used = 0;
    if (!store.held && takeCql(number, link, used)) {
      link->in.erase(0, used);
      continue;
    }
    link->in.erase(0, used);
    runtime::Socket::ReadStatus got = s.read(link->in, kMost);
    if (got == runtime::Socket::ReadStatus::closed) break;
    if (got == runtime::Socket::ReadStatus::noData) co_await s.readable.wait();
  }
  std::erase(store.connections, &s);
  s.close();
}

}  // namespace reedchute::toy

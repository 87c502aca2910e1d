// The Cassandra door's decisions, without sockets or clock: each case prints what was told and what
// was decided.
#include <cstdio>
#include <memory>

#include "codec/cql/request.h"
#include "codec/cql/wire.h"
#include "protocols/cassandra/error_outcomes.h"
#include "protocols/cassandra/paging_state.h"
#include "protocols/cassandra/prepared_statements.h"
#include "protocols/cassandra/settings.h"
#include "protocols/cassandra/statement_decoder.h"
#include "protocols/cassandra/streams.h"
#include "protocols/cassandra/system_tables.h"
#include "protocols/cassandra/table_mapping.h"
#include "trace.h"

using namespace reedchute;
using namespace reedchute::protocols::cassandra;
using reedchute::test::Case;
using reedchute::test::runCase;
using Kind = reedchute::cql::Kind;
using Nature = reedchute::cql::Nature;

namespace {

// Workloads: 0 any, 1 near, 2 mine, 3 write (deduplicated), 4 once.
EngineSettings terms() {
  EngineSettings t;
  Workload any, near, mine, write, once;
  any.effect = near.effect = mine.effect = Effect::idempotent;
  near.level = Level::bounded, mine.level = Level::session;
  write.level = once.level = Level::write;
  write.effect = Effect::deduplicated;
  t.workloads = {any, near, mine, write, once};
  return t;
}
const Names kNames{.workloads = {"any", "near", "mine", "write", "once"},
                   .tenants = {"coop"},
                   .zones = {},
                   .templateOf = {},
                   .deduplicated = {}};

std::string rowName(const EngineSettings& t, int row) {
  static constexpr const char* kLevels[] = {"any", "bounded", "session", "fresh", "write"};
  static constexpr const char* kEffects[] = {"idempotent", "deduplicated", "non-idempotent"};
  if (row < 0) return "none";
  const Workload& w = t.workloads[static_cast<std::size_t>(row)];
  return std::string(kLevels[static_cast<int>(w.level)]) + ", " +
         kEffects[static_cast<int>(w.effect)];
}

void chart() {
  for (bool marks : {false, true}) {
    EngineSettings t = terms();
    Config g;
    g.storesDeduplicateRetries = marks;
    g.mappings = {{"weather", "history", {Kind::read}, {1}, "near", 7, 0, Duration{100'000}},
                  {"weather", "history", {Kind::read}, {}, "any", 7, 0, {}},
                  {"weather",
                   "",
                   {Kind::write, Kind::batch, Kind::counter, Kind::conditional},
                   {},
                   "write",
                   8,
                   0,
                   {}}};
    Names names = kNames;
    TableMapping c(g, t, names);
    IdIndex<std::int64_t> groups;
    groups.add(7), groups.add(8);
    std::printf("-- stores %s repeats by their marks; %zu rows for 5 workloads\n",
                marks ? "drop" : "don't drop", t.workloads.size());
    auto tell = [&](const char* what, const StatementDescription& told) {
      MappedStatement p;
      if (auto why = c.map(told, groups, p))
        std::printf("%s: refused, %s\n", what, why->c_str());
      else
        std::printf("%s: %s; group %lld%s\n", what, rowName(t, p.workload).c_str(),
                    static_cast<long long>(groups.id(p.group)), p.timeout ? ", its own time" : "");
    };
    StatementDescription read{.kind = Kind::read,
                              .nature = {},
                              .keyspace = "weather",
                              .table = "history",
                              .consistency = 1,
                              .isLaterPage = false,
                              .pagePosition = {},
                              .workload = {},
                              .idempotencyKey = {},
                              .group = {}};
    tell("a read at ONE", read);
    read.consistency = 4;
    tell("at QUORUM", read);
    read.isLaterPage = true;
    tell("its next page, position unknown", read);
    read.pagePosition = WallTime{5};
    tell("its next page", read);
    read.workload = "mine", read.group = 8;
    tell("named by its payload", read);
    read.workload = "write";
    tell("a read named a write", read);
    read.workload = "nobody";
    tell("a workload that isn't there", read);
    read.workload = "any", read.group = 9;
    tell("a group that isn't there", read);
    read.workload = {}, read.group = {}, read.keyspace = "other";
    tell("another keyspace", read);
    StatementDescription write{.kind = Kind::write,
                               .nature = {},
                               .keyspace = "weather",
                               .table = "x",
                               .consistency = 1,
                               .isLaterPage = false,
                               .pagePosition = {},
                               .workload = {},
                               .idempotencyKey = "k",
                               .group = {}};
    tell("a marked write", write);
    write.idempotencyKey = {};
    tell("without its mark", write);
    write.idempotencyKey = "k";
    for (Nature n : {Nature::conditional, Nature::counter, Nature::function, Nature::appends,
                     Nature::byPlace}) {
      write.nature = n;
      tell(nameOf(n), write);
    }
    write.workload = "any", write.nature = Nature::idempotent;
    tell("a write in a workload of reads", write);
    write.workload = "once", write.nature = Nature::counter;
    tell("a counter in one that never repeats", write);
    MappedStatement p;
    StatementDescription prepare{.kind = Kind::write,
                                 .nature = {},
                                 .keyspace = "weather",
                                 .table = "x",
                                 .consistency = 0,
                                 .isLaterPage = false,
                                 .pagePosition = {},
                                 .workload = {},
                                 .idempotencyKey = {},
                                 .group = {}};
    auto why = c.mapPreparation(prepare, groups, p);
    std::printf("preparing: %s\n", why ? why->c_str() : rowName(t, p.workload).c_str());
  }
}

void endings() {
  static constexpr const char* kNames2[] = {"ok", "miss", "full", "error", "spoilt", "invalid"};
  for (std::int32_t code :
       {0x0000, 0x000a, 0x0100, 0x1000, 0x1001, 0x1002, 0x1003, 0x1100, 0x1200, 0x1300, 0x1400,
        0x1500, 0x1600, 0x1700, 0x2000, 0x2100, 0x2200, 0x2300, 0x2400, 0x2500, 0x7777})
    std::printf("%04x %s\n", static_cast<unsigned>(code),
                kNames2[static_cast<int>(outcomeOf(code, {}))]);
  std::printf("1000 role %s\n", kNames2[static_cast<int>(outcomeOf(0x1000, "role"))]);
  std::printf("1000 behind %s\n", kNames2[static_cast<int>(outcomeOf(0x1000, "behind"))]);
  std::printf("1001 behind %s\n", kNames2[static_cast<int>(outcomeOf(0x1001, "behind"))]);
}

PreparedText textOf(const std::string& text) {
  PreparedText t;
  t.text = text, t.id = preparedId(text);
  return t;
}

void texts() {
  PreparedTexts texts(4 * 600);
  std::vector<std::string> ids;
  for (const char* text : {"a", "b", "c", "d"}) ids.push_back(texts.insert(textOf(text))->id);
  std::printf("four kept: %zu\n", texts.size());
  texts.find(ids[0]);
  ids.push_back(texts.insert(textOf("e"))->id);
  std::printf("a fifth: %zu; a %d b %d c %d d %d e %d\n", texts.size(),
              texts.find(ids[0]) != nullptr, texts.find(ids[1]) != nullptr,
              texts.find(ids[2]) != nullptr, texts.find(ids[3]) != nullptr,
              texts.find(ids[4]) != nullptr);
  PreparedRef held = texts.find(ids[0]);
  std::size_t before = PreparedTexts::costOf(*held);
  held->resultBodies[0] = std::string(5000, 'x');
  texts.onGrown(held, before);
  std::printf("one that grew beyond all: %zu left, it %s\n", texts.size(),
              texts.find(ids[0]) ? "stays" : "went");
  texts.insert(textOf("f"));
  std::printf("another comes: it %s, whoever uses it still has it: %zu bytes\n",
              texts.find(ids[0]) ? "stays" : "went", held->resultBodies[0].size());
  texts.onSchemaChanged();
  std::printf("bytes after a change of the schema: %zu for %zu\n", texts.bytes(), texts.size());
  StorePrepared::Room room(700);
  StorePrepared known(room);
  known.record("a", {"1", ""}), known.record("b", {"2", ""}), known.find("a"),
      known.record("c", {"3", ""});
  std::printf("a store's: a %d b %d c %d\n", known.find("a") != nullptr, known.find("b") != nullptr,
              known.find("c") != nullptr);
  known.record("a", {"9", ""});
  std::printf("a is learnt anew: %s, %zu known\n", known.find("a")->id.c_str(), known.size());
  StorePrepared::Room four(4 << 20);
  std::vector<std::unique_ptr<StorePrepared>> stores;
  for (int s = 0; s < 1024; ++s) {
    stores.push_back(std::make_unique<StorePrepared>(four));
    for (int t = 0; t < 200; ++t)
      stores.back()->record(preparedId(std::to_string(t)), {std::string(16, 'i'), ""});
  }
  std::printf("1024 stores with 200 each, in 4 MB: %zu known; of the first %zu, of the last %zu\n",
              four.size(), stores.front()->size(), stores.back()->size());
  stores.pop_back();
  std::printf("the last is forgotten: %zu known\n", four.size());
}

void pace() {
  PreparePace p(4);
  auto begun = [&] {
    int n = 0;
    while (p.mayBegin()) p.onBegun(), ++n;
    return n;
  };
  std::printf("at first %d;", begun());
  p.onEnded(true);
  std::printf(" one went well %d;", begun());
  p.onEnded(true), p.onEnded(true);
  std::printf(" two more %d;", begun());
  p.onEnded(true), p.onEnded(true), p.onEnded(true), p.onEnded(true);
  std::printf(" never more than %d;", begun());
  p.onEnded(false);
  std::printf(" one failed: limit %.1f, %d more;", p.limit(), begun());
  p.onEnded(false), p.onEnded(false), p.onEnded(false);
  std::printf(" all failed: limit %.1f, %d more\n", p.limit(), begun());
}

void streams() {
  Streams s(3);
  request::UpstreamRequest jobs[4];
  int a = s.begin(&jobs[0]), b = s.begin(&jobs[1]), c = s.begin(&jobs[2]);
  std::printf("three begun on %d %d %d, full %d\n", a, b, c, s.isFull());
  s.beginPreparing(a, "text");
  std::printf("preparing it already: %d; parked %zu\n", s.isPreparing("text"), s.parked().size());
  s.endPreparing(a);
  std::printf("prepared: %d; parked %zu\n", s.isPreparing("text"), s.parked().size());
  s.beginPreparing(b, "other");
  s.end(b, true);
  std::printf("ended while its text was prepared: preparing %d, full %d, orphans %zu, jobs %zu\n",
              s.isPreparing("other"), s.isFull(), s.orphanCount(), s.requestCount());
  s.end(c, false);
  std::printf("one answered: full %d, next on %d\n", s.isFull(), s.begin(&jobs[3]));
  s.release(b);
  std::printf("the orphan's answer came: full %d, orphans %zu\n", s.isFull(), s.orphanCount());
}

void pages() {
  PagingState p{hashOf("s-1"), WallTime{1'700'000'000'000'000}, "state"};
  std::string bytes = encodePagingState(p);
  auto back = decodePagingState(bytes);
  std::printf("%zu bytes; back: %d, the same store %d, position %d, '%s'\n", bytes.size(),
              back.has_value(), back->storeHash == p.storeHash, back->position == p.position,
              back->state.c_str());
  std::size_t found = 0, all = 0;
  for (std::size_t k = 0; k < bytes.size(); ++k, ++all) {
    std::string spoilt = bytes;
    spoilt[k] = static_cast<char>(spoilt[k] ^ 4);
    found += !decodePagingState(spoilt);
  }
  for (std::size_t k = 0; k < bytes.size(); ++k, ++all)
    found += !decodePagingState(std::string_view(bytes).substr(0, k));
  std::printf("changed or cut: %s found\n", found == all ? "all" : "not all");
  auto without = decodePagingState(encodePagingState({1, {}, ""}));
  std::printf("without a position: %d, %d\n", without.has_value(), without->position.has_value());
}

// From a frame's body to what the module is told.
void takeIn() {
  EngineSettings t = terms();
  Config g;
  g.timeout = Duration{2'000'000};
  g.maxBatchStatements = 3;
  g.mappings = {{"weather", "", {Kind::read}, {}, "any", 7, 0, {}},
                {"weather", "", {}, {}, "write", 7, 0, Duration{300'000}}};
  Names names = kNames;
  TableMapping c(g, t, names);
  IdIndex<std::int64_t> groups;
  groups.add(7);
  request::OpenStatementIds open = {"taken"};
  PreparedTexts texts(1 << 20);
  PreparedText known = textOf("UPDATE weather.t SET n = n + ? WHERE k = ?");
  reedchute::cql::readText(known.text, known.read);
  texts.insert(known);
  StatementDecoder decoder(g, kNames, groups, open, c, texts);
  TimePoint now{1'000'000'000'000};
  runtime::WallClock wall(Duration{});
  using reedchute::cql::Opcode;
  auto ask = [&](const char* what, Opcode o, const std::string& body,
                 const reedchute::cql::BytesMap& payload = {}, const std::string& keyspace = "") {
    std::string whole;
    if (!payload.empty()) reedchute::cql::addBytesMap(whole, payload);
    whole += body;
    reedchute::cql::Frame f;
    f.version = 4, f.opcode = o, f.body = whole,
    f.flags = payload.empty() ? 0 : reedchute::cql::kPayload;
    DecodeResult out = decoder.decode(f, keyspace, now, wall);
    std::printf("%s: ", what);
    if (!out.statement) {
      std::string shown = out.body.substr(0, 120);
      for (char& ch : shown)
        if (ch < ' ') ch = '.';
      return std::printf("%s %s\n", reedchute::cql::nameOf(out.opcode), shown.c_str());
    }
    const Arrival& a = out.statement->arrival;
    const auto& s = static_cast<const Statement&>(*out.statement->payload);
    std::vector<std::string> ids(s.requiredTexts.size(), "STORE-ID");
    std::string sent = encodeBody(s, 123, ids);
    for (char& ch : sent)
      if (ch < ' ' || ch > '~') ch = '.';
    return std::printf(
        "%s; wait %lld ms%s%s, needs %zu\n  %s\n", rowName(t, a.workload).c_str(),
        static_cast<long long>(out.statement->timeout.us / 1000),
        a.sinceWrite ? (", wrote " + std::to_string(a.sinceWrite->us / 1000) + " ms ago").c_str()
                     : "",
        a.tenant >= 0 ? ", a tenant" : "", s.requiredTexts.size(), sent.c_str());
  };
  auto query = [](std::string_view text) {
    std::string body;
    reedchute::cql::addLongString(body, text);
    return body + std::string("\0\1\0", 3);
  };
  ask("mapped", Opcode::query, query("SELECT a FROM weather.t"));
  ask("a write, mapped", Opcode::query, query("INSERT INTO weather.t (a) VALUES (1)"));
  ask("a payload", Opcode::query, query("SELECT a FROM weather.t"),
      {{"id", "x"},
       {"c", "near"},
       {"d", "4500"},
       {"cluster", "7"},
       {"after", "999999500"},
       {"tenant", "coop"}});
  ask("bare names", Opcode::query, query("SELECT a FROM t WHERE b = 'FROM t'"), {}, "weather");
  ask("a batch in the text", Opcode::query,
      query(
          "BEGIN BATCH INSERT INTO t (a) VALUES (1); UPDATE u SET a = 1 WHERE k = 2; APPLY BATCH"),
      {}, "weather");
  ask("an id that is open", Opcode::query, query("SELECT a FROM weather.t"), {{"id", "taken"}});
  ask("a wait that is none", Opcode::query, query("SELECT a FROM weather.t"), {{"d", "soon"}});
  ask("a negative wait", Opcode::query, query("SELECT a FROM weather.t"), {{"d", "-1"}});
  ask("a tenant that is none", Opcode::query, query("SELECT a FROM weather.t"), {{"tenant", "x"}});
  ask("system tables in a batch", Opcode::query,
      query("BEGIN BATCH INSERT INTO weather.t (a) VALUES (1); INSERT INTO system.x (a) VALUES "
            "(1); APPLY BATCH"));
  std::string execute;
  reedchute::cql::addShortBytes(execute, known.id);
  ask("prepared, a counter or list", Opcode::execute, execute + std::string("\0\1\0", 3),
      {{"k", "m"}});
  std::string batch("\0\0\2\0", 4);
  reedchute::cql::addLongString(batch, "INSERT INTO t (a) VALUES (1)");
  batch += std::string("\0\0\1", 3);
  reedchute::cql::addShortBytes(batch, known.id);
  batch += std::string("\0\0\0\1\0", 5);
  ask("a batch of both kinds", Opcode::batch, batch, {{"k", "m"}, {"d", "1"}}, "weather");
  ask("a batch with a read", Opcode::batch, [] {
    std::string b("\0\0\1\0", 4);
    reedchute::cql::addLongString(b, "SELECT a FROM weather.t");
    return b + std::string("\0\0\0\1\0", 5);
  }());
  ask("USE", Opcode::query, query("USE weather"));
}

// Settings as the reader hands them on, and what is wrong with them.
void settings() {
  auto tell = [](const char* what, const std::string& attributes, const std::string& blocks = "") {
    std::string text =
        "{\"attributes\":[],\"blocks\":[{\"type\":\"cassandra\",\"labels\":null,\"line\":3,"
        "\"body\":{\"attributes\":[" +
        attributes + "],\"blocks\":[" + blocks + "]}}]}";
    try {
      config::Block file = config::parseBlock("f.hcl", text);
      config::Section all("f.hcl", file);
      Config g = parseConfig(all.blocks("cassandra").front());
      all.requireAllRead();
      std::printf("%s: taken, %zu streams, %zu mappings, %zu peers, version 5 %d\n", what,
                  g.streams, g.mappings.size(), g.peers.size(), g.v5);
    } catch (const std::exception& e) {
      std::printf("%s: %s\n", what, e.what());
    }
  };
  std::string listen = "{\"name\":\"listen\",\"line\":4,\"value\":\"127.0.0.1:9042\"}";
  auto with = [&](const char* name, const char* value) {
    return listen + ",{\"name\":\"" + name + "\",\"line\":5,\"value\":" + value + "}";
  };
  auto block = [](const char* type, const std::string& attributes) {
    return "{\"type\":\"" + std::string(type) +
           "\",\"labels\":[],\"line\":8,\"body\":{\"attributes\":[" + attributes +
           "],\"blocks\":[]}}";
  };
  tell("only where it listens", listen);
  tell("nothing", "");
  tell("an address that is none", "{\"name\":\"listen\",\"line\":4,\"value\":\"here\"}");
  tell("streams as a text", with("streams", "\"many\""));
  tell("too many streams", with("streams", "32769"));
  tell("half a stream", with("streams", "0.5"));
  tell("an unknown key", with("colour", "1"));
  tell("versions", with("versions", "[4]"));
  tell("version 3", with("versions", "[3,4]"));
  tell("without version 4", with("versions", "[5]"));
  tell("a user without a password", with("user", "\"u\""));
  std::string map =
      "{\"name\":\"workload\",\"line\":9,\"value\":\"any\"},{\"name\":\"group\",\"line\":9,"
      "\"value\":1}";
  tell("a mapping", listen, block("map", map));
  tell("one without a group", listen, block("map", map.substr(0, map.find(",{"))));
  tell("kinds", listen,
       block("map", map + ",{\"name\":\"kinds\",\"line\":10,\"value\":[\"read\",\"dream\"]}"));
  tell(
      "consistencies", listen,
      block("map", map + ",{\"name\":\"consistencies\",\"line\":10,\"value\":[\"ONE\",\"SOME\"]}"));
  tell("a peer", listen,
       block("peer", "{\"name\":\"address\",\"line\":9,\"value\":\"127.0.0.2:9042\"}"));
  tell("an unknown block", listen, block("friend", ""));
  tell("compression", listen,
       block("store", "{\"name\":\"compression\",\"line\":9,\"value\":\"snappy\"}"));
}

constexpr Case kCases[] = {{"cqlChart", chart},   {"cqlEndings", endings},  {"cqlPrepared", texts},
                           {"cqlPace", pace},     {"cqlStreams", streams},  {"cqlPages", pages},
                           {"cqlTakeIn", takeIn}, {"cqlSettings", settings}};

}  // namespace

int main(int argc, char** argv) {
  return runCase(kCases, argc, argv);
}

// The Cassandra door of a whole front on loopback, a process of its own, against the toy of
// example/.
#include "cql_client.h"

using namespace reedchute;
using test::Case;
using test::CqlClient;
using test::Drive;
using test::insertOf;
using test::kCassandraSettings;
using test::made;
using test::selectOf;
using Extra = CqlClient::Extra;

namespace {

struct ClientProtocol : Drive {
  explicit ClientProtocol(int stores, std::string door = kCassandraSettings, int memoryMb = 64)
      : Drive(stores, 256, "automatic", "", false, memoryMb, "15000000", std::move(door)) {}
};

std::string eventsOf(const char* kind) {
  return made([&](auto& b) { cql::addShort(b, 1), cql::addString(b, kind); });
}

void doorServes() {
  for (int version : {4, 5})
    for (bool compress : {false, true}) {
      ClientProtocol d(3);
      CqlClient c(d, version, compress);
      std::printf("-- version %d%s: %s\n", version, compress ? ", lz4" : "", c.started.c_str());
      std::printf("read: %s\n", c.ask(selectOf("a"), {}).c_str());
      std::printf("write: %s\n", c.ask(insertOf("b"), {.workload = "write", .mark = "m1"}).c_str());
      std::printf("without a payload: %s\n", c.plain(selectOf("c")).c_str());
      std::printf("a write without one: %s\n", c.plain(insertOf("d")).c_str());
      std::string id = c.prepare("SELECT payload FROM weather.entries WHERE ref = ?");
      std::printf("prepare: %s\n", c.said.c_str());
      std::printf("execute: %s\n", c.answer(c.execute(id, {"e"}, {})).c_str());
      std::printf("execute: %s\n", c.answer(c.execute(id, {"f"}, {})).c_str());
      std::string write = c.prepare("INSERT INTO weather.entries (ref) VALUES (?)");
      std::printf("batch: %s\n", c.answer(c.batch({insertOf("g")}, {{write, "h"}}, 0,
                                                  {.workload = "write", .mark = "m2"}))
                                     .c_str());
      std::printf("a long answer: %s\n", c.ask(selectOf("big300000"), {}).substr(0, 12).c_str());
      std::printf("effects: %d and %d\n", d.toy.effects("m1"), d.toy.effects("m2"));
    }
}

void doorStreams() {
  ClientProtocol d(3);
  CqlClient c(d);
  c.query(selectOf("slow200"), {}, 5);
  c.query(selectOf("fast"), {}, 6);
  std::printf("6: %s\n", c.answer(6).c_str());
  std::printf("5: %s\n", c.answer(5).c_str());
  for (int k = 0; k < 200; ++k) c.query(selectOf("k" + std::to_string(k)), {}, k);
  int right = 0;
  for (int k = 0; k < 200; ++k) right += c.answer(k) == "row 'value of k" + std::to_string(k) + "'";
  std::printf("200 streams: %d got their own\n", right);
  int before = d.sent;
  for (int k = 0; k < 100; ++k) c.query(selectOf("slow300"), {}, k);
  d.until("they are out", [&] { return d.sent > before; });
  c.socket->close();
  CqlClient other(d);
  std::printf("after one that left with 100 open: %s\n", other.ask(selectOf("a"), {}).c_str());
  CqlClient twice(d);
  twice.query(selectOf("slow200"), {}, 9);
  twice.query(selectOf("b"), {}, 9);
  std::printf("a stream that is open: %s\n", twice.answer(9).c_str());
  d.until("closed", [&] { return twice.read(), twice.ended; });
  std::printf("another connection: %s\n", other.ask(selectOf("c"), {}).c_str());
  d.signal(SIGTERM);
  d.printExitCode();
  std::printf("nothing was left open: %s\n", d.logged("phase=ended open=0 ") ? "yes" : "no");
}

void doorSystem() {
  ClientProtocol d(1);
  CqlClient c(d);
  for (const char* text :
       {"SELECT * FROM system.local WHERE key='local'", "SELECT * FROM system.peers",
        "SELECT * FROM system.peers_v2", "SELECT key, rack FROM system.local",
        "SELECT nothing FROM system.local", "SELECT count(*) FROM system.local",
        "SELECT * FROM system_schema.keyspaces", "SELECT * FROM system_schema.tables",
        "SELECT * FROM system_schema.columns", "SELECT * FROM system.none",
        "INSERT INTO system.local (key) VALUES ('a')", "USE weather",
        "SELECT payload FROM entries WHERE ref = 'bare'", "USE nowhere",
        "SELECT payload FROM nowhere.entries WHERE ref = 'a'", "",
        "SELECT 'open FROM weather.entries"})
    std::printf("%s: %s\n", text, c.plain(text).c_str());
  CqlClient fresh(d);
  std::printf("a bare name without USE: %s\n",
              fresh.plain("SELECT payload FROM entries WHERE ref = 'a'").c_str());
  fresh.send(1, cql::Opcode::reg, eventsOf("STATUS_CHANGE"));
  std::printf("REGISTER: %s\n", fresh.answer(1).c_str());
  CqlClient schema(d);
  schema.send(1, cql::Opcode::reg, eventsOf("SCHEMA_CHANGE"));
  schema.answer(1);
  std::printf("a change of the schema: %s\n",
              c.plain("CREATE TABLE weather.entries (a int PRIMARY KEY)").c_str());
  std::printf("who asked for it hears: %s\n", schema.answer(-1).c_str());
  d.signal(SIGTERM);
  std::printf("when the front leaves: %s\n", fresh.answer(-1).c_str());
  std::printf("meanwhile: %s\n", fresh.plain(selectOf("late")).c_str());
  d.printExitCode();
}

void doorOutcomes() {
  for (const char* key :
       {"error-ok", "full-ok", "miss-ok", "away-ok", "break-ok", "half-ok", "garbage-ok",
        "twice-ok", "long-ok", "longer-ok", "unasked-ok", "wrong", "full"}) {
    ClientProtocol d(3);
    CqlClient c(d);
    c.ask(selectOf("ok"), {});
    int before = d.sent;
    std::string got = c.ask(selectOf(key), {});
    std::printf("%s: %s; %s\n", key, got.c_str(),
                d.sent - before > 1 ? "several sent" : "one sent");
    std::printf("  then: %s\n", c.ask(selectOf("ok"), {}).c_str());
  }
  auto write = [](const char* what, const std::string& text, const Extra& x) {
    ClientProtocol d(1);
    CqlClient c(d);
    int before = d.sent;
    std::string got = c.ask(text, x);
    std::printf("%s: %s; %d sent, %d effects\n", what, got.c_str(), d.sent - before,
                d.toy.effects(x.mark.empty() ? c.lastId : x.mark));
  };
  write("a marked write may run again", insertOf("error-ok"), {.workload = "write", .mark = "m"});
  write("it broke after it ran", insertOf("break-ok"), {.workload = "write", .mark = "m"});
  write("one that must not", insertOf("error-ok"), {.workload = "once"});
  write("one that never ran", insertOf("full-ok"), {.workload = "once"});
  write("a time-out of the store's", insertOf("writetimeout-ok"), {.workload = "once"});
  write("no answer in its time", insertOf("silent"), {.workload = "once", .waitMs = 500});
  write("a counter without a mark's workload",
        "UPDATE weather.entries SET n = n + 1 WHERE ref = 'error-ok'", {.workload = "once"});
  write("a conditional write",
        "INSERT INTO weather.entries (ref) VALUES ('break-ok') IF NOT EXISTS",
        {.workload = "once"});
}

void doorPrepared() {
  ClientProtocol d(3);
  CqlClient c(d);
  std::string id = c.prepare("SELECT payload FROM weather.entries WHERE ref = ?");
  auto run = [&](const char* what, int times) {
    int right = 0,
        before = d.toy.preparedTimes(0) + d.toy.preparedTimes(1) + d.toy.preparedTimes(2);
    for (int k = 0; k < times; ++k)
      right += c.answer(c.execute(id, {"v"}, {})) == "row 'value of v'";
    int prepared = d.toy.preparedTimes(0) + d.toy.preparedTimes(1) + d.toy.preparedTimes(2) -
                   before;
    std::printf("%s: %d of %d; prepared anew: %s\n", what, right, times,
                prepared <= 3 ? "at most once a store" : "too often");
  };
  run("at all stores", 60);
  for (int k = 0; k < 3; ++k) d.toy.forgetPrepared(k);
  run("forgotten by all", 60);
  d.toy.kill(1);
  d.pass(50);
  d.toy.revive(1);
  run("one was started again", 20);
  CqlClient other(d, 5);
  std::string same = other.prepare("SELECT payload FROM weather.entries WHERE ref = ?");
  std::printf("the same text has the same id for all: %s\n", same == id ? "yes" : "no");
  std::printf("version 5: %s\n", other.answer(other.execute(same, {"w"}, {})).c_str());
  std::printf("an unknown id: %s\n", c.answer(c.execute("nothing", {"v"}, {})).c_str());
  std::printf("what can't be prepared: %s\n", (c.prepare("SELECT ("), c.said.c_str()));
  std::string once = c.prepare("INSERT INTO weather.entries (ref) VALUES (?)");
  for (int k = 0; k < 3; ++k) d.toy.forgetPrepared(k);
  Extra x{.workload = "once"};
  std::printf("a write that was forgotten: %s\n", c.answer(c.execute(once, {"v"}, x)).c_str());
  std::printf("its effects: %d\n", d.toy.effects(c.lastId));
  for (int k = 0; k < 3; ++k) d.toy.forgetPrepared(k);
  std::printf("a batch of it: %s\n",
              c.answer(c.batch({}, {{once, "v"}, {once, "w"}}, 1, x)).c_str());
  std::printf("its effects: %d\n", d.toy.effects(c.lastId));
}

void doorPages() {
  ClientProtocol d(3);
  CqlClient c(d);
  Extra x;
  x.pageSize = 1;
  for (int k = 1; k <= 3; ++k) {
    std::printf("page %d: %s\n", k, c.ask(selectOf("pages3"), x).c_str());
    x.page = std::string(c.reply.pageState.value_or(std::string_view{}));
  }
  std::printf("%s\n", c.ask(selectOf("pages3"), {.pageSize = 1}).c_str());
  std::string page(*c.reply.pageState), changed = page;
  changed[changed.size() / 2] = static_cast<char>(changed[changed.size() / 2] ^ 1);
  std::printf("a state that was changed: %s\n",
              c.ask(selectOf("pages3"), {.pageSize = 1, .page = changed}).c_str());
  std::printf("a state of nobody's: %s\n",
              c.ask(selectOf("pages3"), {.pageSize = 1, .page = "2"}).c_str());
  std::printf("the next page stalls: %s\n",
              c.ask(selectOf("silent"), {.waitMs = 400, .pageSize = 1, .page = page}).c_str());
  std::printf("and again: %s\n", c.ask(selectOf("pages3"), {.pageSize = 1, .page = page}).c_str());
  // Further pages are never older than the first: replicas that came back from an old copy get none
  // of them.
  d.restartWithOldData({1, 2});
  int right = 0, before = d.toy.executions(1) + d.toy.executions(2);
  for (int k = 0; k < 20; ++k)
    right += c.ask(selectOf("pages3"), {.pageSize = 1, .page = page}) == "row 'page 2', more pages";
  std::printf("next pages while replicas are a minute behind: %d of 20, %d sent to those\n", right,
              d.toy.executions(1) + d.toy.executions(2) - before);
}

std::string frameOf(int version, int flags, int stream, int opcode, std::string_view body) {
  return cql::whole(version & 0x80, version & 0x7f, static_cast<std::uint8_t>(flags),
                    static_cast<std::int16_t>(stream), static_cast<cql::Opcode>(opcode), body);
}

void doorBadInput() {
  ClientProtocol d(2);
  CqlClient good(d);
  auto fresh = [&](const char* what, const std::string& bytes, int stream) {
    CqlClient c(d, 4, false, false);
    c.raw(bytes);
    std::printf("%s: %s", what, c.answer(stream).c_str());
    d.until("closed", [&] { return c.read(), c.ended; });
    std::printf("; ended\n");
  };
  std::string start = made([](auto& b) {
    cql::addShort(b, 1), cql::addString(b, "CQL_VERSION"), cql::addString(b, "3.0.0");
  });
  fresh("version 3", frameOf(3, 0, 7, 1, start), 7);
  fresh("version 6", frameOf(6, 0, 7, 5, ""), 7);
  fresh("version 1", std::string("\1\0\0\1\0\0\0\0", 8), 0);
  fresh("an answer for a request", frameOf(0x84, 0, 3, 1, start), 3);
  fresh("an unknown opcode", frameOf(4, 0, 3, 0x44, ""), 3);
  fresh("a query before STARTUP", frameOf(4, 0, 3, 7, ""), 3);
  fresh("a STARTUP that can't be read", frameOf(4, 0, 3, 1, "x"), 3);
  std::string snappy = made([](auto& b) {
    cql::addShort(b, 2), cql::addString(b, "CQL_VERSION"), cql::addString(b, "3.0.0");
    cql::addString(b, "COMPRESSION"), cql::addString(b, "snappy");
  });
  fresh("a compression that isn't offered", frameOf(4, 0, 3, 1, snappy), 3);
  auto announces = [](std::uint32_t size) {
    return made([&](auto& b) { cql::addHeader(b, false, 4, 0, 1, cql::Opcode::query, size); });
  };
  fresh("a huge length", announces(0x7fffffff), 0);
  fresh("a negative length", announces(0xfffffff0), 0);
  fresh("not this protocol at all", "GET / HTTP/1.1\r\n\r\n", 12064);
  auto after = [&](const char* what, int version, const std::string& bytes, int stream) {
    CqlClient c(d, version);
    // A statement that is out meanwhile isn't hurt where the connection goes on.
    c.query(selectOf("slow100"), {}, 30);
    c.raw(bytes);
    std::printf("%s: %s; ", what, c.answer(stream).c_str());
    std::printf("the other stream: %s\n", c.answer(30).c_str());
  };
  after("a body that can't be read", 4, frameOf(4, 0, 9, 7, "xx"), 9);
  after("a batch without end", 4, frameOf(4, 0, 9, 13, std::string("\0\xff\xff", 3)), 9);
  after("an unknown flag of the query", 4, frameOf(4, 0, 9, 7, std::string("\0\0\0\1x\0\1\x80", 8)),
        9);
  after("a second STARTUP", 4, frameOf(4, 0, 9, 1, start), 9);
  after("a password that nobody asked for", 4, frameOf(4, 0, 9, 15, std::string("\0\0\0\0", 4)), 9);
  after("a negative stream", 4, frameOf(4, 0, -5, 7, ""), -5);
  after("another version in between", 4, frameOf(5, 0, 9, 7, ""), 9);
  after("compressed without agreement", 4, frameOf(4, 1, 9, 7, std::string("\0\0\0\4abcd", 8)), 0);
  after("a spoilt checksum", 5, std::string(64, '\x55'), 0);
  after("REGISTER for nothing known", 4, frameOf(4, 0, 9, 11, eventsOf("WEATHER_CHANGE")), 9);
  std::printf("all the while: %s\n", good.ask(selectOf("a"), {}).c_str());
}

void doorPasswords() {
  std::string door = kCassandraSettings;
  door.insert(door.find("  streams"), "  user = \"gate\"\n  password = \"rain\"\n");
  ClientProtocol d(1, door);
  for (const char* secret : {"rain", "snow", "rainy", ""}) {
    CqlClient c(d);
    std::string before = c.started, token = std::string("\0gate\0", 6) + secret, body;
    cql::addBytes(body, token);
    c.send(1, cql::Opcode::authResponse, body);
    std::printf("'%s': %s, %s", secret, before.c_str(), c.answer(1).c_str());
    std::printf(", a read: %s\n", c.ended ? "ended" : c.ask(selectOf("a"), {}).c_str());
  }
  CqlClient c(d);
  c.query(selectOf("a"), {}, 2);
  std::printf("a query without one: %s\n", c.answer(2).c_str());
}

// Many streams at once, a client that reads nothing, and the memory that it all takes.
void doorCrowd() {
  ClientProtocol d(3, kCassandraSettings, 32);
  CqlClient c(d);
  for (int k = 0; k < 10'000; ++k) c.query(selectOf("slow2"), {}, k);
  int completed = 0, rejected = 0, other = 0;
  for (int k = 0; k < 10'000; ++k) {
    std::string got = c.answer(k);
    ++(got.starts_with("row") ? completed : got.starts_with("ERROR 1001") ? rejected : other);
  }
  std::printf("10,000 streams at once: answered %d, otherwise %d\n", completed + rejected, other);
  std::vector<std::unique_ptr<CqlClient>> deaf;
  for (int k = 0; k < 5; ++k) {
    deaf.push_back(std::make_unique<CqlClient>(d));
    for (int n = 0; n < 200; ++n) deaf.back()->query(selectOf("big60000"), {}, n);
  }
  // Their statements may fill the memory for statements: whoever comes then is told at once to come
  // again.
  CqlClient after(d);
  int told = 0, right = 0;
  for (int k = 0; k < 20; ++k) {
    std::string got = after.ask(selectOf("a"), {});
    told += got == "row 'value of a'" || got.starts_with("ERROR 1001");
  }
  std::printf("beside clients that read nothing: %d of 20 answered or told to come again\n", told);
  deaf.clear();
  d.until("what they asked for is over",
          [&] { return after.ask(selectOf("a"), {}) == "row 'value of a'"; });
  for (int k = 0; k < 20; ++k) right += after.ask(selectOf("a"), {}) == "row 'value of a'";
  std::printf("once they have left: %d of 20\n", right);
  std::printf("memory at most 32 MB: %s\n", d.usedAtMost(32) ? "yes" : "no");
}

// One stream is owed its answer, as the next message comes slowly.
void doorSlowWriter() {
  ClientProtocol d(1, kCassandraSettings);
  CqlClient c(d);
  c.query(selectOf("slow2500"), {.waitMs = 5000}, 1);
  c.raw(std::string("\4\0\0\2\7\0\0\0\x20", 9));
  std::printf("owed beside half a message of ten connect time-outs: %s\n", c.answer(1).c_str());
  std::string got = c.answer(0);  // the end may come with it or behind it
  bool closed = d.until("closed", [&] { return c.read(), c.ended; });
  std::printf("the half message then: %s, closed %s\n", got.substr(0, got.find(',')).c_str(),
              closed ? "yes" : "no");
}

// A store that drains finishes what it has, gets nothing new on old streams, and loses its
// connections.
void doorDrains() {
  // Probes go in this protocol too: an idle connection of the other would stay until its time.
  std::string door = kCassandraSettings;
  door.insert(door.find("  streams"), "  probes = true\n");
  ClientProtocol d(2, door);
  CqlClient c(d);
  for (int k = 0; k < 40; ++k) c.query(selectOf("a"), {}, k);
  for (int k = 0; k < 40; ++k) c.answer(k);
  int out = d.toy.executions(1), stream = 100;
  while (d.toy.executions(1) == out) {
    c.query(selectOf("slow800"), {}, stream++);
    d.pass(20);
  }
  std::printf("connected to it: %s\n", d.toy.connections(1) > 0 ? "yes" : "no");
  d.toy.setState(1, "draining");
  d.until("told", [&] { return d.logged("state=draining"); });
  int before = d.toy.executions(1), right = 0;
  for (int k = 0; k < 40; ++k) c.query(selectOf("b"), {}, k);
  for (int k = 0; k < 40; ++k) right += c.answer(k).starts_with("row");
  std::printf("while it drains: %d of 40, %d sent to it\n", right, d.toy.executions(1) - before);
  int kept = 0;
  for (int k = 100; k < stream; ++k) kept += c.answer(k).starts_with("row");
  std::printf("what was out: %s\n", kept == stream - 100 ? "all answered" : "not all answered");
  d.until("its connections are closed", [&] { return d.toy.connections(1) == 0; });
}

constexpr Case kCases[] = {
    {"doorServes", doorServes},     {"doorStreams", doorStreams},      {"doorSystem", doorSystem},
    {"doorOutcomes", doorOutcomes}, {"doorPrepared", doorPrepared},    {"doorPages", doorPages},
    {"doorBadInput", doorBadInput}, {"doorPasswords", doorPasswords},  {"doorCrowd", doorCrowd},
    {"doorDrains", doorDrains},     {"doorSlowWriter", doorSlowWriter}};

}  // namespace

int main(int argc, char** argv) {
  return test::runOnFront(kCases, argc, argv);
}

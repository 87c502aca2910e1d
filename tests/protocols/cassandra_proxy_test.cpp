// Tests the client side of the Cassandra protocol end to end: a proxy process on loopback, in front
// of the toy stores of example/.
#include "cql_client.h"

using namespace reedchute;
using test::Case;
using test::CassandraProxy;
using test::CqlClient;
using test::insertOf;
using test::kCassandraSettings;
using test::made;
using test::selectOf;
using Extra = CqlClient::Extra;

namespace {

std::string eventsOf(const char* kind) {
  return made([&](auto& body) { cql::addShort(body, 1), cql::addString(body, kind); });
}

void doorServes() {
  for (int version : {4, 5})
    for (bool compress : {false, true}) {
      CassandraProxy proxy(3);
      CqlClient client(proxy, version, compress);
      std::printf("-- version %d%s: %s\n", version, compress ? ", lz4" : "",
                  client.started.c_str());
      std::printf("read: %s\n", client.ask(selectOf("a"), {}).c_str());
      std::printf("write: %s\n",
                  client.ask(insertOf("b"), {.workload = "write", .mark = "m1"}).c_str());
      std::printf("without a payload: %s\n", client.plain(selectOf("c")).c_str());
      std::printf("a write without one: %s\n", client.plain(insertOf("d")).c_str());
      std::string id = client.prepare("SELECT payload FROM weather.entries WHERE ref = ?");
      std::printf("prepare: %s\n", client.said.c_str());
      std::printf("execute: %s\n", client.answer(client.execute(id, {"e"}, {})).c_str());
      std::printf("execute: %s\n", client.answer(client.execute(id, {"f"}, {})).c_str());
      std::string write = client.prepare("INSERT INTO weather.entries (ref) VALUES (?)");
      std::printf("batch: %s\n", client
                                     .answer(client.batch({insertOf("g")}, {{write, "h"}}, 0,
                                                          {.workload = "write", .mark = "m2"}))
                                     .c_str());
      std::printf("a long answer: %s\n",
                  client.ask(selectOf("big300000"), {}).substr(0, 12).c_str());
      std::printf("effects: %d and %d\n", proxy.toy.effects("m1"), proxy.toy.effects("m2"));
    }
}

void doorStreams() {
  CassandraProxy proxy(3);
  CqlClient client(proxy);
  client.query(selectOf("slow200"), {}, 5);
  client.query(selectOf("fast"), {}, 6);
  std::printf("6: %s\n", client.answer(6).c_str());
  std::printf("5: %s\n", client.answer(5).c_str());
  for (int k = 0; k < 200; ++k) client.query(selectOf("k" + std::to_string(k)), {}, k);
  int correct = 0;
  for (int k = 0; k < 200; ++k)
    correct += client.answer(k) == "row 'value of k" + std::to_string(k) + "'";
  std::printf("200 streams: %d got their own\n", correct);
  int sentBefore = proxy.sent;
  for (int k = 0; k < 100; ++k) client.query(selectOf("slow300"), {}, k);
  proxy.until("they are out", [&] { return proxy.sent > sentBefore; });
  client.socket->close();
  CqlClient otherClient(proxy);
  std::printf("after one that left with 100 open: %s\n",
              otherClient.ask(selectOf("a"), {}).c_str());
  CqlClient reusingClient(proxy);
  reusingClient.query(selectOf("slow200"), {}, 9);
  reusingClient.query(selectOf("b"), {}, 9);
  std::printf("a stream that is open: %s\n", reusingClient.answer(9).c_str());
  proxy.until("closed", [&] { return reusingClient.read(), reusingClient.ended; });
  std::printf("another connection: %s\n", otherClient.ask(selectOf("c"), {}).c_str());
  proxy.signal(SIGTERM);
  proxy.printExitCode();
  std::printf("nothing was left open: %s\n", proxy.logged("phase=ended open=0 ") ? "yes" : "no");
}

void doorSystem() {
  CassandraProxy proxy(1);
  CqlClient client(proxy);
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
    std::printf("%s: %s\n", text, client.plain(text).c_str());
  CqlClient statusListener(proxy);
  std::printf("a bare name without USE: %s\n",
              statusListener.plain("SELECT payload FROM entries WHERE ref = 'a'").c_str());
  statusListener.send(1, cql::Opcode::reg, eventsOf("STATUS_CHANGE"));
  std::printf("REGISTER: %s\n", statusListener.answer(1).c_str());
  CqlClient schemaListener(proxy);
  schemaListener.send(1, cql::Opcode::reg, eventsOf("SCHEMA_CHANGE"));
  schemaListener.answer(1);
  std::printf("a change of the schema: %s\n",
              client.plain("CREATE TABLE weather.entries (a int PRIMARY KEY)").c_str());
  std::printf("who asked for it hears: %s\n", schemaListener.answer(-1).c_str());
  proxy.signal(SIGTERM);
  std::printf("when the front leaves: %s\n", statusListener.answer(-1).c_str());
  std::printf("meanwhile: %s\n", statusListener.plain(selectOf("late")).c_str());
  proxy.printExitCode();
}

void doorOutcomes() {
  for (const char* key :
       {"error-ok", "full-ok", "miss-ok", "away-ok", "break-ok", "half-ok", "garbage-ok",
        "twice-ok", "long-ok", "longer-ok", "unasked-ok", "wrong", "full"}) {
    CassandraProxy proxy(3);
    CqlClient client(proxy);
    client.ask(selectOf("ok"), {});
    int sentBefore = proxy.sent;
    std::string response = client.ask(selectOf(key), {});
    std::printf("%s: %s; %s\n", key, response.c_str(),
                proxy.sent - sentBefore > 1 ? "several sent" : "one sent");
    std::printf("  then: %s\n", client.ask(selectOf("ok"), {}).c_str());
  }
  auto write = [](const char* what, const std::string& text, const Extra& options) {
    CassandraProxy proxy(1);
    CqlClient client(proxy);
    int sentBefore = proxy.sent;
    std::string response = client.ask(text, options);
    std::printf("%s: %s; %d sent, %d effects\n", what, response.c_str(), proxy.sent - sentBefore,
                proxy.toy.effects(options.mark.empty() ? client.lastId : options.mark));
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
  CassandraProxy proxy(3);
  CqlClient client(proxy);
  std::string id = client.prepare("SELECT payload FROM weather.entries WHERE ref = ?");
  auto run = [&](const char* what, int times) {
    int correct = 0, preparedBefore = proxy.toy.prepareCount(0) + proxy.toy.prepareCount(1) +
                                      proxy.toy.prepareCount(2);
    for (int k = 0; k < times; ++k)
      correct += client.answer(client.execute(id, {"v"}, {})) == "row 'value of v'";
    int prepared = proxy.toy.prepareCount(0) + proxy.toy.prepareCount(1) +
                   proxy.toy.prepareCount(2) - preparedBefore;
    std::printf("%s: %d of %d; prepared anew: %s\n", what, correct, times,
                prepared <= 3 ? "at most once a store" : "too often");
  };
  run("at all stores", 60);
  for (int k = 0; k < 3; ++k) proxy.toy.forgetPrepared(k);
  run("forgotten by all", 60);
  proxy.toy.kill(1);
  proxy.pass(50);
  proxy.toy.restart(1);
  run("one was started again", 20);
  CqlClient otherClient(proxy, 5);
  std::string sameId = otherClient.prepare("SELECT payload FROM weather.entries WHERE ref = ?");
  std::printf("the same text has the same id for all: %s\n", sameId == id ? "yes" : "no");
  std::printf("version 5: %s\n",
              otherClient.answer(otherClient.execute(sameId, {"w"}, {})).c_str());
  std::printf("an unknown id: %s\n", client.answer(client.execute("nothing", {"v"}, {})).c_str());
  std::printf("what can't be prepared: %s\n", (client.prepare("SELECT ("), client.said.c_str()));
  std::string writeId = client.prepare("INSERT INTO weather.entries (ref) VALUES (?)");
  for (int k = 0; k < 3; ++k) proxy.toy.forgetPrepared(k);
  Extra options{.workload = "once"};
  std::printf("a write that was forgotten: %s\n",
              client.answer(client.execute(writeId, {"v"}, options)).c_str());
  std::printf("its effects: %d\n", proxy.toy.effects(client.lastId));
  for (int k = 0; k < 3; ++k) proxy.toy.forgetPrepared(k);
  std::printf(
      "a batch of it: %s\n",
      client.answer(client.batch({}, {{writeId, "v"}, {writeId, "w"}}, 1, options)).c_str());
  std::printf("its effects: %d\n", proxy.toy.effects(client.lastId));
}

void doorPages() {
  CassandraProxy proxy(3);
  CqlClient client(proxy);
  Extra options;
  options.pageSize = 1;
  for (int k = 1; k <= 3; ++k) {
    std::printf("page %d: %s\n", k, client.ask(selectOf("pages3"), options).c_str());
    options.page = std::string(client.reply.pageState.value_or(std::string_view{}));
  }
  std::printf("%s\n", client.ask(selectOf("pages3"), {.pageSize = 1}).c_str());
  std::string page(*client.reply.pageState), modified = page;
  modified[modified.size() / 2] = static_cast<char>(modified[modified.size() / 2] ^ 1);
  std::printf("a state that was changed: %s\n",
              client.ask(selectOf("pages3"), {.pageSize = 1, .page = modified}).c_str());
  std::printf("a state of nobody's: %s\n",
              client.ask(selectOf("pages3"), {.pageSize = 1, .page = "2"}).c_str());
  std::printf("the next page stalls: %s\n",
              client.ask(selectOf("silent"), {.waitMs = 400, .pageSize = 1, .page = page}).c_str());
  std::printf("and again: %s\n",
              client.ask(selectOf("pages3"), {.pageSize = 1, .page = page}).c_str());
  // Later pages must not be older than the first one, so replicas that restarted from an old copy
  // must not receive any of these reads.
  proxy.restartWithOldData({1, 2});
  int correct = 0, executionsBefore = proxy.toy.executions(1) + proxy.toy.executions(2);
  for (int k = 0; k < 20; ++k)
    correct += client.ask(selectOf("pages3"), {.pageSize = 1, .page = page}) ==
               "row 'page 2', more pages";
  std::printf("next pages while replicas are a minute behind: %d of 20, %d sent to those\n",
              correct, proxy.toy.executions(1) + proxy.toy.executions(2) - executionsBefore);
}

std::string frameOf(int version, int flags, int stream, int opcode, std::string_view body) {
  return cql::encodeFrame(version & 0x80, version & 0x7f, static_cast<std::uint8_t>(flags),
                          static_cast<std::int16_t>(stream), static_cast<cql::Opcode>(opcode),
                          body);
}

void doorBadInput() {
  CassandraProxy proxy(2);
  CqlClient otherClient(proxy);
  auto sendOnNewConnection = [&](const char* what, const std::string& bytes, int stream) {
    CqlClient client(proxy, 4, false, false);
    client.raw(bytes);
    std::printf("%s: %s", what, client.answer(stream).c_str());
    proxy.until("closed", [&] { return client.read(), client.ended; });
    std::printf("; ended\n");
  };
  std::string startup = made([](auto& body) {
    cql::addShort(body, 1), cql::addString(body, "CQL_VERSION"), cql::addString(body, "3.0.0");
  });
  sendOnNewConnection("version 3", frameOf(3, 0, 7, 1, startup), 7);
  sendOnNewConnection("version 6", frameOf(6, 0, 7, 5, ""), 7);
  sendOnNewConnection("version 1", std::string("\1\0\0\1\0\0\0\0", 8), 0);
  sendOnNewConnection("an answer for a request", frameOf(0x84, 0, 3, 1, startup), 3);
  sendOnNewConnection("an unknown opcode", frameOf(4, 0, 3, 0x44, ""), 3);
  sendOnNewConnection("a query before STARTUP", frameOf(4, 0, 3, 7, ""), 3);
  sendOnNewConnection("a STARTUP that can't be read", frameOf(4, 0, 3, 1, "x"), 3);
  std::string snappyStartup = made([](auto& body) {
    cql::addShort(body, 2), cql::addString(body, "CQL_VERSION"), cql::addString(body, "3.0.0");
    cql::addString(body, "COMPRESSION"), cql::addString(body, "snappy");
  });
  sendOnNewConnection("a compression that isn't offered", frameOf(4, 0, 3, 1, snappyStartup), 3);
  auto headerWithSize = [](std::uint32_t size) {
    return made(
        [&](auto& body) { cql::addHeader(body, false, 4, 0, 1, cql::Opcode::query, size); });
  };
  sendOnNewConnection("a huge length", headerWithSize(0x7fffffff), 0);
  sendOnNewConnection("a negative length", headerWithSize(0xfffffff0), 0);
  sendOnNewConnection("not this protocol at all", "GET / HTTP/1.1\r\n\r\n", 12064);
  auto sendAfterStartup = [&](const char* what, int version, const std::string& bytes, int stream) {
    CqlClient client(proxy, version);
    // A statement in flight completes if the connection stays open.
    client.query(selectOf("slow100"), {}, 30);
    client.raw(bytes);
    std::printf("%s: %s; ", what, client.answer(stream).c_str());
    std::printf("the other stream: %s\n", client.answer(30).c_str());
  };
  sendAfterStartup("a body that can't be read", 4, frameOf(4, 0, 9, 7, "xx"), 9);
  sendAfterStartup("a batch without end", 4, frameOf(4, 0, 9, 13, std::string("\0\xff\xff", 3)), 9);
  sendAfterStartup("an unknown flag of the query", 4,
                   frameOf(4, 0, 9, 7, std::string("\0\0\0\1x\0\1\x80", 8)), 9);
  sendAfterStartup("a second STARTUP", 4, frameOf(4, 0, 9, 1, startup), 9);
  sendAfterStartup("a password that nobody asked for", 4,
                   frameOf(4, 0, 9, 15, std::string("\0\0\0\0", 4)), 9);
  sendAfterStartup("a negative stream", 4, frameOf(4, 0, -5, 7, ""), -5);
  sendAfterStartup("another version in between", 4, frameOf(5, 0, 9, 7, ""), 9);
  sendAfterStartup("compressed without agreement", 4,
                   frameOf(4, 1, 9, 7, std::string("\0\0\0\4abcd", 8)), 0);
  sendAfterStartup("a spoilt checksum", 5, std::string(64, '\x55'), 0);
  sendAfterStartup("REGISTER for nothing known", 4,
                   frameOf(4, 0, 9, 11, eventsOf("WEATHER_CHANGE")), 9);
  std::printf("all the while: %s\n", otherClient.ask(selectOf("a"), {}).c_str());
}

void doorPasswords() {
  std::string settings = kCassandraSettings;
  settings.insert(settings.find("  streams"), "  user = \"gate\"\n  password = \"rain\"\n");
  CassandraProxy proxy(1, settings);
  for (const char* password : {"rain", "snow", "rainy", ""}) {
    CqlClient client(proxy);
    std::string startupResponse = client.started, token = std::string("\0gate\0", 6) + password,
                body;
    cql::addBytes(body, token);
    client.send(1, cql::Opcode::authResponse, body);
    std::printf("'%s': %s, %s", password, startupResponse.c_str(), client.answer(1).c_str());
    std::printf(", a read: %s\n", client.ended ? "ended" : client.ask(selectOf("a"), {}).c_str());
  }
  CqlClient client(proxy);
  client.query(selectOf("a"), {}, 2);
  std::printf("a query without one: %s\n", client.answer(2).c_str());
}

// Guards against unbounded memory: 10,000 streams at once on one connection, then five clients with
// 200 large responses each that never read. The proxy must stay within its limit and serve others.
void doorCrowd() {
  CassandraProxy proxy(3, kCassandraSettings, 32);
  CqlClient client(proxy);
  for (int k = 0; k < 10'000; ++k) client.query(selectOf("slow2"), {}, k);
  int completed = 0, rejected = 0, other = 0;
  for (int k = 0; k < 10'000; ++k) {
    std::string response = client.answer(k);
    ++(response.starts_with("row")          ? completed
       : response.starts_with("ERROR 1001") ? rejected
                                            : other);
  }
  std::printf("10,000 streams at once: answered %d, otherwise %d\n", completed + rejected, other);
  std::vector<std::unique_ptr<CqlClient>> nonReadingClients;
  for (int k = 0; k < 5; ++k) {
    nonReadingClients.push_back(std::make_unique<CqlClient>(proxy));
    for (int n = 0; n < 200; ++n) nonReadingClients.back()->query(selectOf("big60000"), {}, n);
  }
  // Their statements may use up the memory for statements. Further statements are then rejected at
  // once with Overloaded (1001).
  CqlClient laterClient(proxy);
  int respondedOrRejected = 0, correct = 0;
  for (int k = 0; k < 20; ++k) {
    std::string response = laterClient.ask(selectOf("a"), {});
    respondedOrRejected += response == "row 'value of a'" || response.starts_with("ERROR 1001");
  }
  std::printf("beside clients that read nothing: %d of 20 answered or told to come again\n",
              respondedOrRejected);
  nonReadingClients.clear();
  proxy.until("what they asked for is over",
              [&] { return laterClient.ask(selectOf("a"), {}) == "row 'value of a'"; });
  for (int k = 0; k < 20; ++k) correct += laterClient.ask(selectOf("a"), {}) == "row 'value of a'";
  std::printf("once they have left: %d of 20\n", correct);
  std::printf("memory at most 32 MB: %s\n", proxy.usedAtMost(32) ? "yes" : "no");
}

// A pending response must be sent even if the client leaves its next message unfinished for longer
// than the message timeout (ten connect timeouts). Only then is the connection closed.
void doorSlowWriter() {
  CassandraProxy proxy(1, kCassandraSettings);
  CqlClient client(proxy);
  client.query(selectOf("slow2500"), {.waitMs = 5000}, 1);
  client.raw(std::string("\4\0\0\2\7\0\0\0\x20", 9));
  std::printf("owed beside half a message of ten connect time-outs: %s\n",
              client.answer(1).c_str());
  std::string response = client.answer(0);  // the close may arrive with the response or after it
  bool isClosed = proxy.until("closed", [&] { return client.read(), client.ended; });
  std::printf("the half message then: %s, closed %s\n",
              response.substr(0, response.find(',')).c_str(), isClosed ? "yes" : "no");
}

// A draining store must complete its statements in flight, receive no new ones on existing
// connections, and have its connections closed.
void doorDrains() {
  // Probes use this protocol too; otherwise an idle PostgreSQL connection would stay open until its
  // idle timeout.
  std::string settings = kCassandraSettings;
  settings.insert(settings.find("  streams"), "  probes = true\n");
  CassandraProxy proxy(2, settings);
  CqlClient client(proxy);
  for (int k = 0; k < 40; ++k) client.query(selectOf("a"), {}, k);
  for (int k = 0; k < 40; ++k) client.answer(k);
  int executionsBefore = proxy.toy.executions(1), stream = 100;
  while (proxy.toy.executions(1) == executionsBefore) {
    client.query(selectOf("slow800"), {}, stream++);
    proxy.pass(20);
  }
  std::printf("connected to it: %s\n", proxy.toy.connections(1) > 0 ? "yes" : "no");
  proxy.toy.setState(1, "draining");
  proxy.until("told", [&] { return proxy.logged("state=draining"); });
  int executionsAtDrain = proxy.toy.executions(1), correct = 0;
  for (int k = 0; k < 40; ++k) client.query(selectOf("b"), {}, k);
  for (int k = 0; k < 40; ++k) correct += client.answer(k).starts_with("row");
  std::printf("while it drains: %d of 40, %d sent to it\n", correct,
              proxy.toy.executions(1) - executionsAtDrain);
  int completed = 0;
  for (int k = 100; k < stream; ++k) completed += client.answer(k).starts_with("row");
  std::printf("what was out: %s\n",
              completed == stream - 100 ? "all answered" : "not all answered");
  proxy.until("its connections are closed", [&] { return proxy.toy.connections(1) == 0; });
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

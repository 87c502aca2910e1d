// Tests of the whole proxy as a separate process on loopback, with the toy of example/ as its
// stores and endpoint list. Prints what clients received and what the stores received; no line
// depends on the speed of the machine.
#include <fcntl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <memory>
#include <stdexcept>

#include "pg_client.h"
#include "trace.h"

using namespace reedchute;
using runtime::Socket;
using test::Case;
using test::Client;
using test::Drive;
using test::ms;

namespace {

void completed() {
  Drive d(2);
  d.show = true;
  Client c(d);
  c.asks("a read that any may answer", Client::read("7f"));
  c.asks("a read with a bound", Client::read("80", 3000, "near"));
  c.asks("a write", Client::write("81"));
  d.show = false;
  c.asks("an empty query", "");
  c.asks("blanks and a semicolon", " ; ");
  c.send(pg::query(Client::read("a")) + pg::query("") + pg::query(Client::read("b")));
  std::printf("three at once: %s\n", c.get(3).c_str());
  Client split(d, false);
  for (char byte : pg::startup("web", "orders") + pg::query(Client::read("c")))
    split.send({&byte, 1}), d.pass(1);
  std::printf("byte by byte, the query right behind the startup: %s\n", split.get(2).c_str());
  Client ssl(d, false);
  ssl.send(std::string("\0\0\0\x08\x04\xd2\x16\x2f", 8));
  d.until("N", [&] { return ssl.socket->read(ssl.in, 100) == Socket::ReadStatus::data; });
  std::printf("asked for TLS: %s\n", std::exchange(ssl.in, {}).c_str());
  ssl.send(pg::startup("web", "orders") + pg::query(""));
  std::printf("then: %s\n", ssl.get(2).c_str());
  ssl.send(pg::message('X', ""));
  std::printf("Terminate: %s\n", ssl.get().c_str());
}

// Each key has a proxy of its own, so that no case is affected by the ejections and limits of
// another.
void outcomes() {
  for (const char* key : {"error-ok", "full-ok", "miss-ok", "break-ok", "silent-ok", "half-ok",
                          "garbage-ok", "twice-ok", "long-ok", "away-ok"}) {
    Drive d(3);
    Client c(d);
    for (int k = 0; k < 40; ++k)
      c.ask(Client::read("ok"));  // these earn the budget for a second execution of silent-ok
    c.asks(key, Client::read(key));
  }
  Drive d(3);
  Drive single(1);
  Client c(single);
  c.asks("more than was asked for", Client::read("more"));
  c.asks("the next one gets its own", Client::read("ok"));
  std::printf("full everywhere: %s\n", Client(d).ask(Client::read("full")).c_str());
}

void writes() {
  auto printWrite = [](const char* what, const std::string& text) {
    Drive d(1);
    Client(d).asks(what, text);
  };
  printWrite("may have run, its group drops repeats", Client::write("error-ok"));
  printWrite("must not run twice, may have run", Client::write("error-ok", 3000, "once"));
  printWrite("must not run twice, its connection broke", Client::write("break-ok", 3000, "once"));
  printWrite("must not run twice, never ran", Client::write("full-ok", 3000, "once"));
  printWrite("a store's 57P03 does not become a rejection", Client::write("away", 3000, "once"));
  printWrite("no answer in its time", Client::write("silent", 500, "once"));
  printWrite("garbage for an answer", Client::write("garbage", 3000, "once"));
}

void connections() {
  Drive d(2);
  Client c(d);
  c.asks("first", Client::read("a"));
  d.toy.closeIdle(0), d.toy.closeIdle(1);
  c.asks("idle connections were closed by the stores", Client::read("b"));
  d.toy.kill(1);
  d.pass(50);
  c.asks("the replica has died", Client::read("c"));
  c.asks("a write meanwhile", Client::write("d"));
  d.toy.restart(1);
  d.until("the list's change is read", [&] { return d.logged("version=2"); });
  c.asks("it is back", Client::read("e"));
  Client other(d);
  int sentBefore = d.sent;
  c.send(pg::query(Client::read("slow200")));
  d.until("it is out", [&] { return d.sent > sentBefore; });
  c.socket->close();
  d.pass(400);
  std::printf("a client left in the middle: %d sent\n", d.sent - sentBefore);
  other.asks("another one's", Client::read("f"));
}

void drains() {
  Drive d(2);
  Client c(d);
  auto printReplicaShare = [&](const char* what) {
    int executionsBefore = d.toy.executions(1);
    for (int k = 0; k < 5; ++k) c.ask(Client::read("a"));
    std::printf("%s: the replica gets %d of 5\n", what, d.toy.executions(1) - executionsBefore);
  };
  printReplicaShare("both up");
  d.toy.setState(1, "draining");
  d.until("told", [&] { return d.logged("version=2"); });
  printReplicaShare("it drains");
  d.toy.setState(1, "removed");
  d.until("told", [&] { return d.logged("version=3"); });
  printReplicaShare("it is gone");
  d.toy.setState(1, "up");
  d.until("told", [&] { return d.logged("version=4"); });
  printReplicaShare("up again");
  d.toy.hold(1, true), d.toy.closeIdle(1);
  int executionsBefore = d.toy.executions(1);
  c.send(pg::query(Client::read("b")));
  d.pass(20);
  d.toy.setState(1, "draining");
  d.until("told", [&] { return d.logged("version=5"); });
  d.toy.hold(1, false);
  std::printf("it drains while a statement waits for its connection: %s\n", c.get().c_str());
  d.pass(100);
  std::printf("sent to it then: %d\n", d.toy.executions(1) - executionsBefore);
  d.toy.setState(1, "up");
  d.until("told", [&] { return d.logged("version=6"); });
  for (const char* response :
       {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnone",
        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: "
        "47\r\n\r\n{\"version\":9,\"full\":true,\"servers\":[{\"id\":\"x\"}]}"}) {
    d.log.clear();
    d.toy.overrideListResponse(response);
    d.toy.setState(1, "up");
    std::printf(
        "a broken list is %s\n",
        d.until("logged", [&] { return d.logged("discovery_invalid_response"); }) ? "logged" : "?");
    d.until("the next call", [&] { return d.logged(" endpoints_updated version="); });
    printReplicaShare("and the next call brings");
  }
}

void asked() {
  Drive d(2, 256, "subscribe", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
  std::printf("the first call failed: %s\n", d.logged("discovery_invalid_response") ? "yes" : "no");
  d.toy.setState(1, "draining");
  d.until("told", [&] { return d.logged("version=2"); });
  d.log.clear();
  d.toy.overrideListResponse("nonsense\r\n\r\n");
  d.toy.setState(1, "up");
  d.until("the watch breaks", [&] { return d.logged("discovery_invalid_response"); });
  bool isReceived = d.until("told", [&] { return d.logged("version=3"); });
  std::printf("a broken watch is asked for anew: %s\n", isReceived ? "yes" : "no");
  Client(d).asks("and a read", Client::read("a"));
}

// A change counts as reported once the list service has it, whether or not the call that would
// return it succeeds.
void toldAnyway() {
  Drive d(2);
  d.toy.indentList(true);
  d.toy.setState(1, "draining");
  std::printf("a list with a line for each part: %s\n",
              d.until("told", [&] { return d.logged("version=2"); }) ? "read" : "?");
  d.toy.indentList(false);
  auto changeWhileSilent = [&](const char* state, const char* logText) {
    d.pass(50);
    d.toy.setListUnresponsive(true);
    d.toy.setState(1, state);
    TimePoint since = d.s.now();
    d.pass(200);
    d.toy.setListUnresponsive(false);
    d.until("told", [&] { return d.logged(logText); });
    return d.s.now() - since < ms(6000) ? "told before that counts" : "told too late";
  };
  std::printf("a watch that falls silent: %s\n", changeWhileSilent("up", "version=3"));
  std::printf("and the one after it: %s\n", changeWhileSilent("draining", "version=4"));
  d.toy.setState(1, "up");
  d.until("told", [&] { return d.logged("version=5"); });
  d.known = d.toy.endpointListJson(), d.awaitsList = false;
  d.toy.setState(1, "draining");
  d.toy.delayList(ms(150));
  d.killAndStart();
  int executionsBefore = d.toy.executions(1);
  Client(d).asks("a new process, the list known from before out of date", Client::read("a"));
  std::printf("the store that drains got %d of it\n", d.toy.executions(1) - executionsBefore);
}

void logStands() {
  Drive d(2, 256, "automatic", "", true);
  Client c(d);
  for (int k = 0; k < 20; ++k) c.ask("no statement");
  c.asks("nobody reads the log", Client::read("a"));
}

void badInput() {
  Drive d(2);
  Client c(d);
  c.asks("no comment", "SELECT 1");
  c.asks("unknown workload", Client::read("a", 3000, "other"));
  c.asks("unknown group", "SELECT 1 /* id=1,c=any,d=100,cluster=9 */");
  c.asks("two statements", "SELECT 1; " + Client::read("a"));
  c.asks("broken comment", "SELECT 1 /* id=1,c=any,d=100,cluster=7");
  c.asks("a value above 64 KiB", Client::write(std::string(140'000, 'a')));
  c.asks("one of 64 KiB", Client::write("ok-" + std::string(131'000, 'a')));
  c.send(pg::message('P', std::string("\0SELECT 1\0\0\0", 12)) + pg::message('S', ""));
  std::printf("an extended query: %s\n", c.get().c_str());
  c.asks("and a simple one after it", Client::read("b"));
  c.send(pg::message('Q', "no end"));
  std::printf("a query without its end: %s\n", c.get().c_str());
  const std::pair<const char*, std::string> fatal[] = {
      {"an unknown type", pg::message('y', "x")},
      {"a negative length", std::string("Q\xff\xff\xff\xff", 5)},
      {"an absurd length", std::string("Q\x7f\0\0\0", 5)}};
  for (const auto& [what, bytes] : fatal) {
    Client other(d);
    other.send(bytes);
    std::printf("%s: %s\n", what, other.get().c_str());
  }
  Client startup(d, false);
  startup.send(std::string("\0\0\0\2", 4));
  std::printf("a startup without sense: %s\n", startup.get().c_str());
  Client oldVersion(d, false);
  oldVersion.send(std::string("\0\0\0\x08\0\2\0\0", 8));
  std::printf("version 2: %s\n", oldVersion.get().c_str());
  std::printf("%d were sent in all\n", d.sent);
  Client flood(d);
  std::string queries;
  for (int k = 0; k < 100'000; ++k) queries += pg::query("");
  flood.socket->write(queries);
  c.asks("while another sends without end", Client::read("d"));
  c.asks("the first connection still serves", Client::read("c"));
}

void crowd() {
  Drive d(2, 64);
  std::vector<std::unique_ptr<Client>> clients;
  for (int k = 0; k < 60; ++k) clients.push_back(std::make_unique<Client>(d));
  int closed = 0;
  for (auto& c : clients) {
    std::string in;
    closed += c->socket->read(in, 10) == Socket::ReadStatus::closed;
  }
  std::printf("60 idle connections: %s were closed, the last one serves: %s\n",
              closed > 0 ? "some" : "none", clients.back()->ask(Client::read("a")).c_str());
  std::printf("the first: %s\n", clients.front()->get().c_str());
  clients.clear();
  d.pass(50);
  for (int k = 0; k < 40; ++k) {
    clients.push_back(std::make_unique<Client>(d, false));
    clients.back()->send(pg::startup("web", "orders") + pg::query(Client::read("slow500", 5000)));
  }
  int served = 0, refused = 0, other = 0;
  for (auto& c : clients) {
    std::string answer = c->get(2);
    bool hasRow = answer.find("row 'value of slow500'") != std::string::npos;
    served += hasRow, refused += !hasRow && answer.find("53300") != std::string::npos;
    if (!hasRow && answer.find("53300") == std::string::npos)
      ++other, std::printf("%s\n", answer.c_str());
  }
  std::printf("40 busy ones: some served: %s, some rejected: %s, without an answer: %d\n",
              served > 0 ? "yes" : "no", refused > 0 ? "yes" : "no", other);
  clients.clear();
  d.pass(50);
  Client after(d);
  std::printf("afterwards: %s\n", after.ask(Client::read("b")).c_str());
}

void leaves() {
  Drive d(2);
  Client idle(d), busy(d);
  busy.send(pg::query(Client::read("slow1500", 5000)));
  int sentBefore = d.sent;
  d.until("it is out", [&] { return d.sent > sentBefore || d.toy.executions(1) > 0; });
  d.signal(SIGTERM);
  d.until("leaving", [&] { return d.logged("phase=leaving"); });
  Client late(d);
  std::printf("a client that comes just after SIGTERM: %s\n", late.ask(Client::read("a")).c_str());
  std::printf("one that was there: %s\n", idle.ask(Client::read("b")).c_str());
  d.signal(SIGTERM);
  std::printf("idle ones are sent away: %s, %s\n", idle.get().c_str(), late.get().c_str());
  std::printf("what was in hand: %s\n", busy.get(2).c_str());
  d.printExitCode();
}

// Compares the last counters line of the log with what clients and stores received.
void tallied() {
  Drive d(2);
  {
    Client c(d);
    for (int k = 0; k < 12; ++k) c.ask(Client::read("ok"));
    c.ask(Client::write("error-ok", 3000, "once"));
    c.ask(Client::write("full", 400, "once"));
    c.ask(Client::read("full-ok"));
    c.ask(Client::read("wrong"));  // its client gets the store's own error: completed
  }
  d.signal(SIGTERM);
  d.printExitCode();
  d.logged("counters");
  std::size_t lineStart = d.log.rfind(" counters ");
  std::string line = lineStart == std::string::npos
                         ? "none"
                         : d.log.substr(lineStart, d.log.find('\n', lineStart) - lineStart);
  auto value = [&](const char* name) {
    std::size_t found = line.find(std::string(" ") + name + "=");
    return found == std::string::npos ? -1
                                      : std::atoi(line.c_str() + found + std::strlen(name) + 2);
  };
  for (const char* name :
       {"taken", "open", "completed", "rejected", "aborted", "answered", "client_gone"})
    std::printf("%s %d\n", name, value(name));
  std::printf("executions: %s\n", value("executions") == d.sent ? "as stores saw" : line.c_str());
  std::printf("probes: %s\n", value("probes") > 0 ? "some" : "none");
  bool areConnectionsReused = value("connects") >= 2 && value("connects") < value("executions");
  std::printf("connects: %s\n", areConnectionsReused ? "kept ones serve many" : line.c_str());
}

// Malformed answers, each key on a proxy of its own: the content of such an answer is not trusted,
// and the execution may have run.
void spoilt() {
  for (const char* key : {"noise", "longer", "liar", "garbage", "long", "twice"}) {
    Drive d(2);
    Client c(d);
    c.asks((std::string(key) + ", a read").c_str(), Client::read(std::string(key) + "-ok"));
    c.asks((std::string(key) + ", must not run twice").c_str(),
           Client::write(std::string(key) + "-ok", 3000, "once"));
  }
  Drive d(1);
  Client c(d);
  for (const char* key : {"more", "copy", "unread"}) {
    c.asks(key, Client::read(key));
    c.asks("the next one gets its own", Client::read("ok"));
  }
  c.asks("the statement is at fault", Client::read("wrong-ok"));
  int sentBefore = d.sent;
  std::string query = Client::read("slow300"), duplicate = query;
  c.send(pg::query(query));
  d.until("it is out", [&] { return d.sent > sentBefore; });
  Client other(d);
  other.asks("an id that is open already", duplicate);
  std::printf("the one that had it first: %s\n", c.get().c_str());
  c.asks("no k where it is needed",
         "INSERT INTO entries VALUES ('a') /* id=9,c=write,cluster=7,d=900 */");
  c.asks("a position beyond all clocks",
         "SELECT 1 /* id=9,c=any,cluster=7,d=900,after=9000000000000000000 */");
}

void reload() {
  Drive d(2);
  Client c(d);
  auto reloadAndPrint = [&](const char* what, const char* line) {
    d.log.clear();
    d.signal(SIGHUP);
    std::printf("%s: %s\n", what, d.until("logged", [&] { return d.logged(line); }) ? line : "?");
    std::printf("and it serves on: %s\n", c.ask(Client::read("a")).c_str());
  };
  toy::Toy moved(d.s);
  for (int k = 0; k < 3; ++k) moved.addStore(k == 0, 7);
  int port = moved.serveList();
  d.configure(port, "t", 60);
  reloadAndPrint("cut off", "reload_bad");
  d.configure(port, "t", 0);
  reloadAndPrint("empty", "reload_bad");
  d.configure(port, "other");
  reloadAndPrint("another address, and a name that only a restart takes",
                 "reload_ignored field=name");
  d.until("the new list", [&] { return d.logged("entries=3"); });
  std::printf("the list came from the new address\n");
  d.log.clear();
  moved.setState(2, "draining");
  std::printf("a change there: %s\n",
              d.until("told", [&] { return d.logged("state=draining"); }) ? "told" : "?");
  d.log.clear();
  for (int k = 0; k < 3; ++k) d.signal(SIGHUP), d.pass(5);
  d.until("the list again", [&] { return d.logged("entries=3"); });
  std::printf("several in a row: %s\n", c.ask(Client::read("b")).c_str());
  d.signal(SIGTERM), d.signal(SIGHUP);
  d.pass(100);
  d.signal(SIGHUP);
  d.printExitCode();
}

void silence() {
  Drive d(2, 64);
  Client usual(d);
  usual.asks("one that will ask again", Client::read("0"));
  std::vector<std::unique_ptr<Client>> silent;
  for (int k = 0; k < 100; ++k) silent.push_back(std::make_unique<Client>(d, false));
  Client partial(d);
  partial.send(std::string("Q\0\0\0\x63SELECT", 11));
  Client(d).asks("a hundred have said nothing; one that asks", Client::read("a"));
  usual.asks("the one that was there before them", Client::read("1"));
  d.pass(200);
  Client late(d);
  late.asks("one that comes then", Client::read("b"));
  std::printf("the one with half a statement: %s\n", partial.get().c_str());
  int ended = 0;
  for (auto& c : silent) c->get(), ended += c->ended;
  std::printf("%d of the silent were ended\n", ended);
  std::vector<std::unique_ptr<Client>> servedOnce;
  for (int k = 0; k < 14; ++k) {
    servedOnce.push_back(std::make_unique<Client>(d));
    servedOnce.back()->ask(Client::read("once"));
  }
  d.pass(20);
  int kept = 0;
  for (auto& c : servedOnce) {
    std::string in;
    kept += c->socket->read(in, 1) != Socket::ReadStatus::closed;
  }
  std::printf("of 14 that have asked once and stay, at 64 descriptors, %d are kept\n", kept);
  Client huge(d);
  huge.send(std::string("Q\x03\x93\x87\0", 5) + std::string(1000, 'a'));
  std::printf("sixty megabytes are announced: %s\n", huge.get().c_str());
  Client(d).asks("and another that asks", Client::read("c"));
}

// A long run in miniature: stores and clients that were added and removed leave nothing behind.
void passing() {
  Drive d(2, 128, "automatic", "", false, 32, "300000");
  int replica = 1;
  for (int k = 0; k < 150; ++k) {
    int next = d.toy.addStore(false, 7);
    d.toy.setState(next, "up");
    Client(d).ask(Client::read("key" + std::to_string(k)));
    d.toy.setState(replica, "removed");
    if (k % 3 == 0) d.toy.kill(replica);
    replica = next;
  }
  d.log.clear();
  bool haveAllLeft = d.until(
      "all have left", [&] { return d.logged("sessions=0 store_connections=0 stores=2 gone=0"); });
  std::printf("150 stores and clients came and went; only what is listed is held: %s\n",
              haveAllLeft ? "yes" : "no");
  d.toy.setState(1, "up");
  d.pass(200);
  Client(d).asks("one of them is listed again", Client::read("a"));
}

// Memory limits. The memory that clients use is taken from the proxy's client_memory_limit log
// lines.
void memory() {
  Drive d(2, 256, "automatic", "", false, 32);
  std::vector<std::unique_ptr<Client>> clients;
  for (int k = 0; k < 150; ++k) {
    clients.push_back(std::make_unique<Client>(d));
    clients.back()->send(std::string("Q\0\2\x49\xf0", 5) + std::string(140'000, 'a'));
  }
  Client(d).asks("150 clients have sent most of a long statement; one that asks",
                 Client::read("a"));
  int refused = 0, closed = 0;
  for (auto& c : clients) {
    std::string answer = c->get();
    refused += answer.find("53200") != std::string::npos, closed += c->ended;
  }
  std::printf("some were told that there is no memory: %s; ended: %d\n", refused > 0 ? "yes" : "no",
              closed);
  d.logged("client_memory_limit");  // reads the log
  std::size_t peakBytes = 0;
  for (std::size_t at = 0; (at = d.log.find("client_memory_limit bytes=", at)) != std::string::npos;
       ++at)
    peakBytes = std::max<std::size_t>(peakBytes,
                                      static_cast<std::size_t>(std::atoi(d.log.c_str() + at + 26)));
  std::printf("they held more than a quarter of 32 MB and one message: %s\n",
              peakBytes > (8u << 20) + (256u << 10) ? "yes" : "no");
  clients.clear();
  for (int k = 0; k < 80; ++k) {
    clients.push_back(std::make_unique<Client>(d));
    clients.back()->send(pg::query(Client::read("slow700-" + std::string(130'000, 'a'), 5000)));
  }
  int served = 0, rejected = 0;
  for (auto& c : clients) {
    std::string answer = c->get();
    served += answer.find("row") != std::string::npos,
        rejected += answer.find("53300") != std::string::npos;
  }
  std::printf(
      "80 long statements at once: some completed: %s, some rejected: %s, without an answer: %d\n",
      served > 0 ? "yes" : "no", rejected > 0 ? "yes" : "no", 80 - served - rejected);
  Client(d).asks("afterwards", Client::read("b"));
  Client(d).asks("a row of 300 KB", Client::read("big300000"));
}

// Guards against a second effect: a client leaves while a store executes its non-idempotent
// statement, and the statement comes again under the same id.
void comesAgain() {
  Drive d(3);
  const std::string statement = pg::query(
      "INSERT INTO entries (ref, payload) VALUES ('slow300', '\\x9f') RETURNING payload "
      "/* id=again,c=once,d=3000,cluster=7 */");
  auto first = std::make_unique<Client>(d);
  first->send(statement);
  d.until("the primary has it", [&] { return d.toy.effects("again") > 0; });
  first->socket->close();
  d.pass(50);
  Client second(d);
  second.send(statement);
  second.get();
  d.pass(500);
  std::printf("a statement comes again after its client has left: effects %d\n",
              d.toy.effects("again"));
}

// Guards against the process exceeding its memory limit while many clients stop in a long
// statement: what each of them has sent is bounded before it is read, and freed before its
// connection ends.
void memoryOfHalves() {
  Drive d(2, 1024, "automatic", "", false, 32);
  const std::string statement = pg::query(Client::read(std::string(130'000, 'a')));
  std::vector<std::unique_ptr<Client>> clients;
  for (int k = 0; k < 300; ++k) {
    clients.push_back(std::make_unique<Client>(d));
    clients.back()->send(statement.substr(0, statement.size() * 5 / 6));
  }
  int refused = 0;
  for (auto& client : clients) refused += client->get().find("53200") != std::string::npos;
  std::printf(
      "300 clients stop in a statement of 130 KB: some are told that there is no memory: %s\n",
      refused > 0 ? "yes" : "no");
  std::printf("the process stayed under its 32 MB: %s\n", d.usedAtMost(32) ? "yes" : "no");
  clients.clear();
  Client(d).asks("afterwards", Client::read("b"));
}

const Case kCases[] = {{"completed", completed},
                       {"outcomes", outcomes},
                       {"writes", writes},
                       {"connections", connections},
                       {"drains", drains},
                       {"asked", asked},
                       {"logStands", logStands},
                       {"badInput", badInput},
                       {"crowd", crowd},
                       {"leaves", leaves},
                       {"tallied", tallied},
                       {"spoilt", spoilt},
                       {"reload", reload},
                       {"silence", silence},
                       {"passing", passing},
                       {"memory", memory},
                       {"memoryOfHalves", memoryOfHalves},
                       {"comesAgain", comesAgain},
                       {"toldAnyway", toldAnyway}};

}  // namespace

// front PROGRAM CASE
int main(int argc, char** argv) {
  return test::runOnFront(kCases, argc, argv);
}

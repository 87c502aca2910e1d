// A proxy that shuts down is gone by 0.7 s after SIGTERM plus the longest time that it still owes
// to a request that it has read: connections that owe nothing don't hold it, whatever state they
// are in. The proxy is a process of its own.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cql_client.h"
#include "pg_client.h"
#include "trace.h"

using namespace reedchute;
using test::Case;
using test::Client;
using test::Drive;
using test::edits;
using test::yes;

namespace {

constexpr long kShutdownMs = 700;  // from SIGTERM, where nothing is owed
constexpr long kHeldUpMs = 150;    // for which any process may stand still

const std::string kSslRequest("\0\0\0\x08\x04\xd2\x16\x2f", 8);
const std::string kHugeMessage("Q\x7f\xff\xff\xff", 5);
const std::string kHugeStartup("\x7f\xff\xff\xff\0\3\0\0", 8);

// When the log says so, in ms by the proxy's clock.
long loggedAt(const std::string& log, const char* text) {
  std::size_t found = log.find(text);
  if (found == std::string::npos) return -1;
  std::size_t line = log.rfind('\n', found) + 1;
  // All but the lowest digits are the same within a test.
  return std::strtoll(log.c_str() + line, nullptr, 10) % 100'000'000;
}

long shutdownMs(const Drive& d) {
  return loggedAt(d.log, "phase=ended") - loggedAt(d.log, "signal number=15");
}

void tell(const char* what, Drive& d, long owedMs) {
  int status = d.awaitExit();
  bool inTime = shutdownMs(d) <= kShutdownMs + kHeldUpMs + owedMs;
  std::printf("%s: ended with %d, in time %s\n", what, status, yes(inTime));
  if (!inTime) std::fprintf(stderr, "%ld ms after SIGTERM\n%s", shutdownMs(d), d.log.c_str());
}

// A client that has sent `bytes` and says no more, during the whole shutdown.
void endsBeside(const char* what, const std::string& bytes, bool greets) {
  for (bool comesLate : {false, true}) {
    Drive d(1);
    std::unique_ptr<Client> client;
    auto connects = [&] {
      client = std::make_unique<Client>(d, greets);
      client->send(bytes);
    };
    if (!comesLate) connects();
    d.pass(30);
    d.signal(SIGTERM);
    d.until("it drains", [&] { return d.logged("phase=leaving"); });
    if (comesLate) {
      d.pass(350);
      connects();
    }
    std::string name = std::string(what) + (comesLate ? ", come after SIGTERM" : "");
    tell(name.c_str(), d, 0);
    std::printf("  its client reads: %s\n", client->get().c_str());
  }
}

void shutdownIdle() {
  std::string query = pg::query(Client::read("a"));
  endsBeside("nothing sent", "", false);
  endsBeside("half a startup", pg::startup("web", "orders").substr(0, 9), false);
  endsBeside("SSLRequest and silence", kSslRequest, false);
  endsBeside("a startup that announces 2 GB", kHugeStartup, false);
  endsBeside("resting", "", true);
  endsBeside("half a query", query.substr(0, query.size() / 2), true);
  endsBeside("a query that announces 2 GB", kHugeMessage, true);
}

// A byte now and then, before, during and after.
void shutdownTrickle() {
  for (bool hasStarted : {false, true}) {
    Drive d(1);
    Client client(d, hasStarted);
    std::string message = hasStarted ? pg::query(Client::read("a")) : pg::startup("web", "orders");
    std::size_t sent = 0;
    bool signalled = false;
    TimePoint until = d.s.now() + test::ms(2'000);
    while (d.s.now() < until && sent + 1 < message.size() && !d.logged("phase=ended")) {
      client.send(message.substr(sent++, 1));
      d.pass(60);
      if (sent == 4) d.signal(SIGTERM), signalled = true;
    }
    if (!signalled) std::printf("never signalled\n");
    tell(hasStarted ? "a query of a byte at a time" : "a startup of a byte at a time", d, 0);
  }
}

// The same at the Cassandra door.
void shutdownCql() {
  Drive d(1, 256, "automatic", "", false, 64, "15000000", test::kCassandraSettings);
  sockaddr_in address = *runtime::parseAddress("127.0.0.1:" + std::to_string(d.cqlPort));
  std::vector<std::unique_ptr<runtime::Socket>> clients;
  const std::string halfFrame("\x04\0\0\0\x05", 5);
  for (std::size_t size : {0, 1, 5}) {
    clients.push_back(std::make_unique<runtime::Socket>(d.s, runtime::startConnect(address)));
    d.pass(20);
    d.put(*clients.back(), std::string_view(halfFrame).substr(0, size));
  }
  test::CqlClient resting(d);
  d.signal(SIGTERM);
  tell("a Cassandra client silent, two with half a frame, one resting", d, 0);
}

// What is owed is given its time, and no more.
void shutdownOwed() {
  constexpr int kDeadlineMs = 900;
  Drive d(1);
  Client waits(d);
  int before = d.sent;
  waits.send(pg::query(Client::read("silent", kDeadlineMs)));
  d.until("it is sent", [&] { return d.sent > before; });
  d.signal(SIGTERM);
  std::string got = waits.get();
  std::printf("a store that hangs: %s\n", test::outcomeOf(got));
  tell("with a request of 0.9 s", d, kDeadlineMs);
}

// A client that doesn't take its answer holds the process until its time is up. A reload meanwhile
// is not needed any more.
void shutdownUnread() {
  constexpr int kDeadlineMs = 1'500;
  Drive d(1);
  Client never(d, true, true);
  never.send(pg::query(Client::read("big700000", kDeadlineMs)));
  d.until("it is answered", [&] { return d.toy.executions(0) > 0; });
  d.pass(100);
  d.signal(SIGTERM);
  d.until("it closes", [&] { return d.logged("phase=closing"); });
  d.pass(50);
  for (int k = 0; k < 3; ++k) d.signal(SIGHUP), d.pass(20);
  tell("with an answer of 700 KB that nobody reads", d, kDeadlineMs);
  std::size_t lines = 0;
  for (std::size_t k = 0; (k = d.log.find("reload", k)) != std::string::npos; ++k) ++lines;
  std::printf("reloads told: %zu, list read again: %s\n", lines,
              yes(d.log.find("reload discovery=") != std::string::npos));
}

constexpr Case kCases[] = {{"shutdownIdle", shutdownIdle},
                           {"shutdownTrickle", shutdownTrickle},
                           {"shutdownCql", shutdownCql},
                           {"shutdownOwed", shutdownOwed},
                           {"shutdownUnread", shutdownUnread}};

}  // namespace

// shutdown PROGRAM CASE
int main(int argc, char** argv) {
  return test::runOnFront(kCases, argc, argv);
}

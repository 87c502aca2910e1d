// A proxy that shuts down exits within 0.7 s of SIGTERM plus the longest time that remains to a
// request that it has read. Connections without a pending answer don't delay it, whatever state
// they are in. The proxy is a separate process.
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

constexpr long kShutdownMs = 700;  // from SIGTERM, where no answer is pending
constexpr long kStallMs = 150;     // any process may be stalled for so long

const std::string kSslRequest("\0\0\0\x08\x04\xd2\x16\x2f", 8);
const std::string kHugeMessage("Q\x7f\xff\xff\xff", 5);
const std::string kHugeStartup("\x7f\xff\xff\xff\0\3\0\0", 8);

// The time of the first log line that contains `text`, in ms by the proxy's clock; -1 if none does.
long loggedAt(const std::string& log, const char* text) {
  std::size_t found = log.find(text);
  if (found == std::string::npos) return -1;
  std::size_t line = log.rfind('\n', found) + 1;
  // The lowest digits are enough: the higher ones are the same throughout a test.
  return std::strtoll(log.c_str() + line, nullptr, 10) % 100'000'000;
}

long shutdownMs(const Drive& d) {
  return loggedAt(d.log, "phase=ended") - loggedAt(d.log, "signal number=15");
}

void printShutdown(const char* what, Drive& d, long pendingMs) {
  int status = d.awaitExit();
  bool isInTime = shutdownMs(d) <= kShutdownMs + kStallMs + pendingMs;
  std::printf("%s: ended with %d, in time %s\n", what, status, yes(isInTime));
  if (!isInTime) std::fprintf(stderr, "%ld ms after SIGTERM\n%s", shutdownMs(d), d.log.c_str());
}

// Shuts the proxy down beside a client that sends `bytes` and nothing more: once with a client that
// connects before SIGTERM, once with one that connects 350 ms after it.
void shutDownBeside(const char* what, const std::string& bytes, bool sendsStartup) {
  for (bool connectsLate : {false, true}) {
    Drive d(1);
    std::unique_ptr<Client> client;
    auto connect = [&] {
      client = std::make_unique<Client>(d, sendsStartup);
      client->send(bytes);
    };
    if (!connectsLate) connect();
    d.pass(30);
    d.signal(SIGTERM);
    d.until("it drains", [&] { return d.logged("phase=leaving"); });
    if (connectsLate) {
      d.pass(350);
      connect();
    }
    std::string name = std::string(what) + (connectsLate ? ", come after SIGTERM" : "");
    printShutdown(name.c_str(), d, 0);
    std::printf("  its client reads: %s\n", client->get().c_str());
  }
}

void shutdownIdle() {
  std::string query = pg::query(Client::read("a"));
  shutDownBeside("nothing sent", "", false);
  shutDownBeside("half a startup", pg::startup("web", "orders").substr(0, 9), false);
  shutDownBeside("SSLRequest and silence", kSslRequest, false);
  shutDownBeside("a startup that announces 2 GB", kHugeStartup, false);
  shutDownBeside("resting", "", true);
  shutDownBeside("half a query", query.substr(0, query.size() / 2), true);
  shutDownBeside("a query that announces 2 GB", kHugeMessage, true);
}

// A client sends one byte every 60 ms, before SIGTERM and until the proxy has ended.
void shutdownTrickle() {
  for (bool hasStarted : {false, true}) {
    Drive d(1);
    Client client(d, hasStarted);
    std::string message = hasStarted ? pg::query(Client::read("a")) : pg::startup("web", "orders");
    std::size_t sent = 0;
    bool isSignalled = false;
    TimePoint end = d.s.now() + test::ms(2'000);
    while (d.s.now() < end && sent + 1 < message.size() && !d.logged("phase=ended")) {
      client.send(message.substr(sent++, 1));
      d.pass(60);
      if (sent == 4) d.signal(SIGTERM), isSignalled = true;
    }
    if (!isSignalled) std::printf("never signalled\n");
    printShutdown(hasStarted ? "a query of a byte at a time" : "a startup of a byte at a time", d,
                  0);
  }
}

// Silent, partial and idle clients of the Cassandra protocol.
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
  printShutdown("a Cassandra client silent, two with half a frame, one resting", d, 0);
}

// A pending request may use its time until its deadline, and no more.
void shutdownOwed() {
  constexpr int kDeadlineMs = 900;
  Drive d(1);
  Client waiting(d);
  int sentBefore = d.sent;
  waiting.send(pg::query(Client::read("silent", kDeadlineMs)));
  d.until("it is sent", [&] { return d.sent > sentBefore; });
  d.signal(SIGTERM);
  std::string answer = waiting.get();
  std::printf("a store that hangs: %s\n", test::outcomeOf(answer));
  printShutdown("with a request of 0.9 s", d, kDeadlineMs);
}

// A client that doesn't read its answer delays the exit until its deadline. SIGHUP meanwhile no
// longer reloads.
void shutdownUnread() {
  constexpr int kDeadlineMs = 1'500;
  Drive d(1);
  Client nonReading(d, true, true);
  nonReading.send(pg::query(Client::read("big700000", kDeadlineMs)));
  d.until("it is answered", [&] { return d.toy.executions(0) > 0; });
  d.pass(100);
  d.signal(SIGTERM);
  d.until("it closes", [&] { return d.logged("phase=closing"); });
  d.pass(50);
  for (int k = 0; k < 3; ++k) d.signal(SIGHUP), d.pass(20);
  printShutdown("with an answer of 700 KB that nobody reads", d, kDeadlineMs);
  std::size_t reloadLines = 0;
  for (std::size_t k = 0; (k = d.log.find("reload", k)) != std::string::npos; ++k) ++reloadLines;
  std::printf("reloads told: %zu, list read again: %s\n", reloadLines,
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

// Pipelined statements on one client connection: from when their timeout runs, which of them run
// concurrently, and the order of their responses. The proxy runs as a separate process.
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "client/arrival_times.h"
#include "cql_client.h"
#include "pg_client.h"
#include "trace.h"

using namespace reedchute;
using test::Case;
using test::Client;
using test::CqlClient;
using test::Drive;
using test::ms;

namespace {

// Arrival times of bytes, also if a large number of bytes arrive one at a time.
void arrivals() {
  client::ArrivalTimes times;
  auto at = [&](std::size_t count) {
    return static_cast<long long>(times.arrivalOf(count).us / 1000);
  };
  times.append(10, TimePoint{} + ms(5)), times.append(20, TimePoint{} + ms(7));
  std::printf("bytes 1, 10, 11, 30: %lld %lld %lld %lld\n", at(1), at(10), at(11), at(30));
  times.consume(10);
  std::printf("after 10 are done with, bytes 1, 20: %lld %lld\n", at(1), at(20));
  times.append(5, TimePoint{} + ms(6));  // earlier than the preceding bytes
  std::printf("never back: %lld\n", at(25));
  times.consume(25);
  for (int k = 0; k < 100'000; ++k) times.append(1, TimePoint{} + ms(10 + k));
  bool isTooLate = false;
  for (std::size_t k = 1; k <= 100'000; ++k) isTooLate |= at(k) > static_cast<long long>(9 + k);
  std::printf("100000 bytes one by one: %s, the last within a fiftieth: %s\n",
              isTooLate ? "some too late" : "none too late", at(100'000) >= 98'000 ? "yes" : "no");
}

// A statement queued behind another keeps its timeout running from its arrival: it is rejected when
// its turn comes after that, and never sent.
void behindTime() {
  Drive d(1);
  Client c(d);
  int before = d.sent;
  c.send(pg::query(Client::write("slow700", 5000)) + pg::query(Client::read("b", 400)) +
         pg::query(Client::read("c", 5000)));
  std::string responses = c.get(3);
  std::printf("behind a write of 700 ms, for 400 ms and 5 s: %s; %d sent\n", responses.c_str(),
              d.sent - before);
  // If a statement arrives in pieces, its timeout runs from the last of them.
  std::string split = pg::query(Client::read("d", 800));
  before = d.sent;
  c.send(pg::query(Client::write("slow700", 5000)) + split.substr(0, 20));
  d.pass(400);
  c.send(split.substr(20));
  responses = c.get(2);
  std::printf("its last piece came 400 ms later, for 800 ms: %s; %d sent\n", responses.c_str(),
              d.sent - before);
}

// More bytes are pipelined than the proxy reads at once. Those that it reads late count from the
// earliest time at which they may have arrived.
void behindMuch() {
  Drive d(1);
  Client c(d);
  std::string statements = pg::query(Client::write("slow900", 5000));
  for (int k = 0; k < 40; ++k) statements += pg::query(Client::read(std::string(16'000, 'a'), 400));
  int before = d.sent;
  c.send(statements);
  std::string responses = c.get(41);
  int rejected = 0;
  for (std::size_t k = 0; (k = responses.find("53300", k)) != std::string::npos; ++k) ++rejected;
  std::printf("640 KB behind a write of 900 ms, each for 400 ms: %d rejected, %d sent\n", rejected,
              d.sent - before);
}

// As behindMuch, but the client's kernel takes a while to send the data that was waiting for the
// full TCP window, so that the proxy finds nothing unread in between.
void behindWindow() {
  constexpr int kSendBufferBytes = 4 << 20;
  constexpr int kBytesPerSecond = 20'000'000;
  constexpr int kStatements = 120;
  Drive d(1);
  Client c(d);
  setsockopt(c.socket->fd(), SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof kSendBufferBytes);
  std::string statements = pg::query(Client::write("slow900", 5000));
  for (int k = 0; k < kStatements; ++k)
    statements += pg::query(Client::read(std::string(16'000, 'a'), 400));
  int before = d.sent;
  c.send(statements);
  d.pass(100);
  setsockopt(c.socket->fd(), SOL_SOCKET, SO_MAX_PACING_RATE, &kBytesPerSecond,
             sizeof kBytesPerSecond);
  std::string responses = c.get(kStatements + 1);
  int rejected = 0;
  for (std::size_t k = 0; (k = responses.find("53300", k)) != std::string::npos; ++k) ++rejected;
  std::printf("1.9 MB behind a write of 900 ms, the last at 20 MB/s: %d rejected, %d sent\n",
              rejected, d.sent - before);
  d.pass(300);
  c.asks("the next one, for 300 ms", Client::read("b", 300));
}

// Pipelined reads run concurrently and are answered in order. A write waits for the statements
// before it, and those behind it wait for the write.
void sideBySide() {
  Drive d(2);
  Client c(d);
  int before = d.sent;
  c.send(pg::query(Client::read("slow1000")) + pg::query(Client::read("b")) + pg::query("") +
         pg::query(Client::read("c")));
  d.until("all are sent", [&] { return d.sent >= before + 3; });
  c.socket->read(c.in, 1 << 20);
  std::printf("before the first is answered: %zu bytes came\n", c.in.size());
  std::printf("then: %s\n", c.get(4).c_str());
  before = d.sent;
  c.send(pg::query(Client::read("slow300")) + pg::query(Client::write("e")) +
         pg::query(Client::read("f")));
  d.until("the read is sent", [&] { return d.sent > before; });
  d.pass(100);
  std::printf("a write behind a slow read: %d sent so far\n", d.sent - before);
  std::printf("then: %s\n", c.get(3).c_str());
  before = d.sent;
  c.send(pg::query(Client::write("slow300")) + pg::query(Client::read("h")));
  d.until("the write is sent", [&] { return d.sent > before; });
  d.pass(100);
  std::printf("a read behind a slow write: %d sent so far\n", d.sent - before);
  std::printf("then: %s\n", c.get(2).c_str());
  // A message that ends the connection is handled after the responses before it.
  c.send(pg::query(Client::read("slow100")) + pg::query(Client::read("j")) + pg::message('X', ""));
  std::printf("and Terminate: %s\n", c.get(3).c_str());
  Client malformedClient(d);
  malformedClient.send(pg::query(Client::read("slow100")) + std::string("Q\0\0\0\1", 5));
  std::printf("and what can't be read: %s\n", malformedClient.get(3).c_str());
  Client disconnectingClient(d);
  before = d.sent;
  for (int k = 0; k < 3; ++k) disconnectingClient.send(pg::query(Client::read("silent")));
  d.until("all are sent", [&] { return d.sent >= before + 3; });
  disconnectingClient.socket->close();
  d.until("they are withdrawn", [&] { return d.logged("open=0 sessions=0"); });
  std::printf("one that left with three out: withdrawn\n");
}

// Many clients pipeline large amounts of data without a response: the proxy's memory stays bounded,
// and other clients are served.
void aheadBounded() {
  Drive d(2, 256, "automatic", "", false, 32);
  std::vector<std::unique_ptr<Client>> clients;
  for (int k = 0; k < 60; ++k) {
    std::string statements = pg::query(Client::write("silent", 20'000));
    for (int n = 0; n < 8; ++n)
      statements += pg::query(Client::read(std::string(30'000, 'x'), 20'000));
    clients.push_back(std::make_unique<Client>(d));
    clients.back()->socket->write(statements);
  }
  Client other(d);
  other.asks("another one's", Client::read("a"));
  std::printf("memory: %s\n", d.usedAtMost(32) ? "under 32 MB" : "over 32 MB");
}

// As behindTime, in the Cassandra protocol: a request waits for a free stream.
void streamsFull() {
  std::string settings = test::kCassandraSettings;
  settings.replace(settings.find("2000"), 4, "1");
  Drive d(1, 256, "automatic", "", false, 64, "15000000", settings);
  CqlClient c(d);
  int before = d.sent;
  c.query(test::selectOf("slow700"), {.waitMs = 5000}, 1);
  c.query(test::selectOf("b"), {.waitMs = 400}, 2);
  c.query(test::selectOf("c"), {.waitMs = 5000}, 3);
  std::string first = c.answer(1), second = c.answer(2), third = c.answer(3);
  std::printf("one stream, 700 ms; behind it for 400 ms and 5 s: %s, %s, %s; %d sent\n",
              first.c_str(), second.c_str(), third.c_str(), d.sent - before);
}

// The time left that is announced to a store is computed at the write, not before its connection is
// established.
void toldLeft() {
  test::edits = {{"\"connect_timeout\":250000", "\"connect_timeout\":2000000"}};
  Drive d(1);
  Client c(d);
  c.ask(Client::read("a"));
  d.blockConnections(0);
  long announcedMs = -1;
  d.toy.onStatement = [&](int, const std::string& text) {
    announcedMs = std::atol(text.c_str() + text.find(",d=") + 3);
  };
  c.send(pg::query(Client::write("b", 3000)));
  d.until("the connection is dialled", [&] { return d.toy.holdsGreeting(0); });
  d.pass(600);
  d.toy.hold(0, false);
  std::string responses = c.get();
  std::printf("of 3 s, its connection up after 0.6: %s; told no more than is left: %s\n",
              responses.c_str(), announcedMs > 0 && announcedMs <= 2400 ? "yes" : "no");
}

constexpr Case kCases[] = {{"arrivals", arrivals},       {"behindTime", behindTime},
                           {"behindMuch", behindMuch},   {"behindWindow", behindWindow},
                           {"sideBySide", sideBySide},   {"aheadBounded", aheadBounded},
                           {"streamsFull", streamsFull}, {"toldLeft", toldLeft}};

}  // namespace

// pipeline PROGRAM CASE
int main(int argc, char** argv) {
  return test::runOnFront(kCases, argc, argv);
}

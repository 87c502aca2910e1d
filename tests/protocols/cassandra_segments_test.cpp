// Segments of the Cassandra protocol's version 5 against a whole proxy. A segment may contain
// several frames, or a part of one, so what the proxy has read is not only in its socket buffers.
// Version 4, which has no segments, is the reference.
#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cql_client.h"
#include "cql_segments.h"
#include "pg_client.h"

using namespace reedchute;
using test::Case;
using test::CassandraProxy;
using test::CqlClient;
using test::insertOf;
using test::kCassandraSettings;
using test::segment;
using test::selectOf;
using test::waitUntilArrived;

namespace {

// Waits until the connection has ended, and describes the responses on streams 1 to `streams`.
std::string responsesUntilEnd(CqlClient& client, int streams) {
  client.d.until("closed", [&] { return client.read(), client.ended; });
  std::string description;
  for (int stream = 1; stream <= streams; ++stream) {
    bool hasResponse = client.answers.contains(stream);
    description += description.empty() ? "" : ", ";
    description += hasResponse ? client.describe(client.take(stream)) : "nothing";
  }
  return description;
}

// Sends `requests` on an idle connection just as the proxy closes its idle connections.
void sendAtDrain(const char* what, int version, bool isCompressed,
                 const std::function<std::string(CqlClient&)>& requests) {
  CassandraProxy proxy(1);
  CqlClient client(proxy, version, isCompressed);
  client.ask(selectOf("a"), {});
  proxy.signal(SIGTERM);
  proxy.until("leaving", [&] { return proxy.logged("phase=leaving"); });
  proxy.stop();
  proxy.pass(700);  // the time to close passes while the proxy is stopped
  client.raw(requests(client));
  waitUntilArrived(proxy, [&] { return proxy.countSockets(proxy.cqlPort, true).unread > 0; });
  proxy.resume();
  std::printf("version %d%s, %s: %s\n", version, isCompressed ? ", lz4" : "", what,
              responsesUntilEnd(client, 3).c_str());
  proxy.printExitCode();
  if (proxy.logged("invariant_violated")) std::printf("a violation was logged\n");
}

// Guards against requests that are lost at a shutdown because one before them in their segment is
// taken for the last one received. Each request that was read must get a response.
void segmentsAtDrain() {
  auto read = [](CqlClient& client, int stream) {
    return client.queryFrame(selectOf("b"), {}, stream);
  };
  auto write = [](CqlClient& client, int stream) {
    return client.queryFrame(insertOf("c"), {.workload = "once"}, stream);
  };
  auto options = [](int version, int stream) {
    return cql::encodeFrame(false, version, 0, static_cast<std::int16_t>(stream),
                            cql::Opcode::options, {});
  };
  sendAtDrain("three reads", 4, false,
              [&](auto& c) { return read(c, 1) + read(c, 2) + read(c, 3); });
  for (bool isCompressed : {false, true})
    sendAtDrain("three reads in a segment", 5, isCompressed, [&](auto& c) {
      return segment(read(c, 1) + read(c, 2) + read(c, 3), true, isCompressed);
    });
  sendAtDrain("two reads in a segment and one in the next", 5, false, [&](auto& c) {
    return segment(read(c, 1) + read(c, 2), true) + segment(read(c, 3), true);
  });
  sendAtDrain("a write, OPTIONS and a read in a segment", 5, false,
              [&](auto& c) { return segment(write(c, 1) + options(5, 2) + read(c, 3), true); });
}

// The beginning of a read's frame, in whole segments if the version has them, and the rest.
struct SplitRead {
  SplitRead(CqlClient& client, const char* key, int stream) {
    std::string frame = client.queryFrame(selectOf(key), {}, stream);
    std::string_view whole = frame;
    std::size_t half = frame.size() / 2;
    bool hasSegments = client.version >= 5;
    begin = hasSegments ? segment(whole.substr(0, half), false) : frame.substr(0, half);
    rest = hasSegments ? segment(whole.substr(half), false) : frame.substr(half);
  }
  std::string begin, rest;
};

// Guards against a client in the middle of a message that is closed without a word at a shutdown,
// as if it were idle, because the beginning of its message is in the codec.
void segmentsHalfAtDrain() {
  for (int version : {4, 5}) {
    CassandraProxy proxy(1);
    CqlClient client(proxy, version);
    client.ask(selectOf("a"), {});
    client.raw(SplitRead(client, "b", 1).begin);
    proxy.signal(SIGTERM);
    std::string response = responsesUntilEnd(client, 1);
    bool hasError = client.answers.contains(0);
    std::printf("version %d, half a message: %s, on stream 0: %s\n", version, response.c_str(),
                hasError ? client.describe(client.take(0)).c_str() : "nothing");
    proxy.printExitCode();
  }
}

// Guards against clients that stop in the middle of a message and are never told, nor closed,
// because the beginning of the message is in the codec: alone, and behind a pending response.
void segmentsStopped() {
  constexpr int kToldWithinMs = 3'000;
  for (int version : {4, 5})
    for (bool isBehindAnother : {false, true}) {
      CassandraProxy proxy(1);
      CqlClient client(proxy, version);
      client.ask(selectOf("a"), {});
      if (isBehindAnother) client.query(selectOf("slow2000"), {.waitMs = 5000}, 2);
      client.raw(SplitRead(client, "b", 1).begin);
      std::printf("version %d, half a message%s: ", version,
                  isBehindAnother ? " behind a read" : "");
      if (isBehindAnother)
        std::printf("%s; ", client.answer(2).starts_with("row") ? "the row" : "no row");
      TimePoint end = proxy.s.now() + test::ms(kToldWithinMs);
      while (!client.ended && proxy.s.now() < end) proxy.pass(5), client.read();
      bool hasError = client.answers.contains(0);
      std::printf("%s, closed %s\n", hasError ? client.describe(client.take(0)).c_str() : "nothing",
                  test::yes(client.ended));
    }
}

// Guards against a client that is closed in the middle of a message to make room for idle ones:
// it isn't idle, though the beginning of the message is in the codec.
void segmentsNotIdle() {
  // A message may take six connect timeouts, which is more than this test takes.
  test::edits = {{"\"connect_timeout\":250000", "\"connect_timeout\":2000000"}};
  constexpr int kOthers = 20;  // twice as many as may be idle
  for (int version : {4, 5}) {
    CassandraProxy proxy(1);
    CqlClient client(proxy, version);
    client.ask(selectOf("a"), {});
    std::vector<std::unique_ptr<CqlClient>> others;
    for (int k = 0; k < kOthers; ++k) others.push_back(std::make_unique<CqlClient>(proxy));
    SplitRead read(client, "b", 1);
    client.raw(read.begin);
    for (auto& other : others) other->ask(selectOf("c"), {});
    int closed = 0;
    for (auto& other : others) other->read(), closed += other->ended;
    client.raw(read.rest);
    std::printf("version %d, a message with a pause: %s; idle ones closed: %s\n", version,
                client.answer(1).c_str(), test::yes(closed > 0));
  }
}

// Guards against unbounded memory: clients that each send most of a long message, in segments that
// the codec takes one by one. Clients may use a quarter of the memory.
void segmentsMemory() {
  constexpr int kClients = 90;
  constexpr int kMemoryMb = 32;
  constexpr int kDescriptors = 512;
  constexpr std::size_t kMessageBytes = 250'000;
  constexpr std::size_t kSentBytes = 200'000;
  constexpr std::size_t kSegmentBytes = 10'000;
  std::string settings = kCassandraSettings;
  settings.replace(settings.find("= 40"), 4, "= 100");
  for (int version : {4, 5}) {
    CassandraProxy proxy(1, settings, kMemoryMb, kDescriptors);
    CqlClient other(proxy);
    std::vector<std::unique_ptr<CqlClient>> clients;
    for (int k = 0; k < kClients; ++k) {
      clients.push_back(std::make_unique<CqlClient>(proxy, version));
      CqlClient& client = *clients.back();
      std::string frame = client.queryFrame(selectOf(std::string(kMessageBytes, 'a')), {});
      frame.resize(kSentBytes);
      std::string segments;
      cql::addSegments(segments, frame, kSegmentBytes, false);
      client.raw(version >= 5 ? segments : frame);
    }
    std::string response = other.ask(selectOf("a"), {});
    proxy.pass(100);
    std::size_t open = 0, told = 0;
    for (auto& client : clients) {
      client->read(), client->read();  // the error, and the end
      open += !client->ended;
      if (client->answers.contains(0)) told += client->describe(client->take(0)) == "ERROR 1001";
    }
    std::printf("version %d: another client: %s\n", version, response.c_str());
    std::printf("the others are told that there is no memory: %s\n", test::yes(told > 0));
    std::printf("those that stay hold at most a quarter and one message: %s\n",
                test::yes(open * kSentBytes <= (kMemoryMb << 20) / 4 + kMessageBytes));
    std::printf("memory: %s\n", proxy.usedAtMost(kMemoryMb) ? "under 32 MB" : "over 32 MB");
  }
}

// Guards against a store that stops in the middle of a response and holds its connection, with all
// requests on it, because the beginning of the response is in the codec. The connection is closed
// after one connect timeout.
void segmentsStoreStops() {
  for (int version : {4, 5}) {
    CassandraProxy proxy(1);
    CqlClient client(proxy, version);
    client.ask(selectOf("a"), {});
    std::string response = client.ask(selectOf("stall50000-ok"), {});
    bool isClosed = proxy.logged("upstream_protocol_error store=0 what=\"stalled\"");
    std::printf("version %d: %s; the connection is given up: %s\n", version, response.c_str(),
                test::yes(isClosed));
  }
}

// Guards against unbounded memory: stores that each send most of a long response, in segments that
// the codec takes one by one. What is received from stores may use a quarter of the memory.
void segmentsStoreMemory() {
  constexpr int kReads = 24;
  constexpr int kMemoryMb = 32;
  // The responses must not stall for a connect timeout before all of them have been received.
  test::edits = {{"\"connect_timeout\":250000", "\"connect_timeout\":2000000"}};
  std::string settings = kCassandraSettings;
  settings.replace(settings.find("streams = 64"), 12, "streams = 1");  // a connection per read
  for (int version : {4, 5}) {
    CassandraProxy proxy(3, settings, kMemoryMb);
    CqlClient client(proxy, version);
    client.ask(selectOf("a"), {});
    for (int stream = 1; stream <= kReads; ++stream)
      client.query(selectOf("stall900000-full-full-full"), {.waitMs = 1500}, stream);
    for (int stream = 1; stream <= kReads; ++stream) client.answer(stream);
    std::printf("version %d: the limit is kept: %s; memory: %s\n", version,
                test::yes(proxy.logged("upstream_memory_limit")),
                proxy.usedAtMost(kMemoryMb) ? "under 32 MB" : "over 32 MB");
    proxy.until("served again",
                [&] { return client.ask(selectOf("b"), {}) == "row 'value of b'"; });
  }
}

constexpr Case kCases[] = {
    {"segmentsAtDrain", segmentsAtDrain},        {"segmentsHalfAtDrain", segmentsHalfAtDrain},
    {"segmentsStopped", segmentsStopped},        {"segmentsNotIdle", segmentsNotIdle},
    {"segmentsMemory", segmentsMemory},          {"segmentsStoreStops", segmentsStoreStops},
    {"segmentsStoreMemory", segmentsStoreMemory}};

}  // namespace

// segments PROGRAM CASE
int main(int argc, char** argv) {
  return test::runOnFront(kCases, argc, argv);
}

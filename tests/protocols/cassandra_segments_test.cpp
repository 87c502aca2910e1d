// Segments of the Cassandra protocol's version 5 against a whole proxy. A segment may contain
// several frames, or a part of one, so what the proxy has read is not only in its socket buffers.
// Version 4, which has no segments, is the reference.
#include <string>
#include <vector>

#include "cql_client.h"
#include "cql_segments.h"
#include "pg_client.h"

using namespace reedchute;
using test::Case;
using test::CqlClient;
using test::Drive;
using test::insertOf;
using test::kCassandraSettings;
using test::segment;
using test::selectOf;
using test::waitUntilArrived;

namespace {

struct CassandraProxy : Drive {
  explicit CassandraProxy(int stores, std::string settings = kCassandraSettings, int memoryMb = 64,
                          int descriptors = 256)
      : Drive(stores, descriptors, "automatic", "", false, memoryMb, "15000000",
              std::move(settings)) {}
};

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

// Sends `bytes` on an idle connection just as the proxy closes its idle connections.
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

// Guards against requests that are lost at a shutdown because others of the same segment are taken
// for the last ones received. Each request that was read must get a response.
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

constexpr Case kCases[] = {{"segmentsAtDrain", segmentsAtDrain}};

}  // namespace

// segments PROGRAM CASE
int main(int argc, char** argv) {
  return test::runOnFront(kCases, argc, argv);
}

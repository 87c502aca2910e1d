// A codec that throws while its session is running. The session's statements must still be
// withdrawn and its connection closed. Uses real sockets with a protocol made for the test.
#include "client/client_connections.h"

#include <csignal>
#include <cstdio>
#include <memory>
#include <stdexcept>

#include "trace.h"

using namespace reedchute;
using test::Case;
using test::ms;
using test::runCase;

namespace {

sockaddr_in loopbackAddress(int port) {
  return *runtime::parseAddress("127.0.0.1:" + std::to_string(port), true);
}

// Runs the scheduler until `condition` holds, for at most 5 s. Returns whether it holds.
bool runUntil(runtime::Scheduler& scheduler, const std::function<bool()>& condition) {
  for (TimePoint deadline = scheduler.now() + ms(5000); !condition() && scheduler.now() < deadline;)
    scheduler.runOnce(scheduler.now() + ms(2), [] {});
  return condition();
}

struct ThrowingCodec : client::ClientCodec {
  bool decodeMessage(std::string_view bytes, const client::ArrivalTimes&, std::size_t&) override {
    if (bytes.empty()) return false;
    throw std::runtime_error("thrown by decodeMessage");
  }
  bool hasCompletedStartup() const override { return true; }
  std::size_t pendingResponses() const override { return 1; }
  bool isPaused() const override { return false; }
  void disconnect(client::DisconnectReason) override {}
  void onClientClosed() override { std::printf("what it owes is withdrawn\n"); }
};

struct ThrowingProtocol : client::ClientProtocol {
  std::unique_ptr<client::ClientCodec> newCodec(client::ClientChannel&) override {
    return std::make_unique<ThrowingCodec>();
  }
  std::size_t maxMessageBytes() const override { return 100; }
};

void clientFaults() {
  runtime::Scheduler scheduler;
  ThrowingProtocol protocol;
  request::RequestCounters counters;
  client::ClientConnections clients(
      scheduler, protocol, counters,
      {8, ms(1000), ms(1000), ms(1000), ms(1000), ms(1000), 8, 1 << 20});
  int port = clients.listen(loopbackAddress(0));
  clients.startAccepting();
  runtime::Socket socket(scheduler, runtime::startConnect(loopbackAddress(port)));
  runUntil(scheduler, [&] { return clients.sessionCount() == 1; });
  socket.write("x");
  bool isSessionOver = runUntil(scheduler, [&] { return clients.sessionCount() == 0; });
  std::string input;
  bool hasClientSeenEnd = runUntil(
      scheduler, [&] { return socket.read(input, 10) == runtime::Socket::ReadStatus::closed; });
  std::printf("its session is over: %s, its client sees the end: %s\n",
              isSessionOver ? "yes" : "no", hasClientSeenEnd ? "yes" : "no");
}

const Case kCases[] = {{"clientFaults", clientFaults}};

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return runCase(kCases, argc, argv);
}

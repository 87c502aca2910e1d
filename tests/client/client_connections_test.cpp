// The sessions of clients, with real sockets and protocols made for the test: a codec that throws,
// and codecs that close their connection too early.
#include "client/client_connections.h"

#include <csignal>
#include <cstdio>
#include <memory>
#include <stdexcept>
#include <string>

#include "client/session_writer.h"
#include "invariants/violations.h"
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

// The codec throws while its session is running. The session's statements must still be withdrawn
// and its connection closed.
struct ThrowingCodec : client::ClientCodec {
  bool decodeMessage(std::string_view bytes, const client::ArrivalTimes&, std::size_t&) override {
    if (bytes.empty()) return false;
    throw std::runtime_error("thrown by decodeMessage");
  }
  bool hasWholeMessage(std::string_view bytes) const override { return !bytes.empty(); }
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

// Each byte is a message; 'e' closes the connection, whatever else was read. With `takesAll`, the
// codec takes all bytes out of the session's buffer at once and decodes them one by one.
class HastyCodec : public client::ClientCodec {
 public:
  HastyCodec(client::ClientChannel& channel, bool takesAll)
      : channel_(channel), takesAll_(takesAll) {}
  bool decodeMessage(std::string_view bytes, const client::ArrivalTimes&,
                     std::size_t& used) override {
    if (taken_.empty())
      taken_ = bytes.substr(0, takesAll_ ? bytes.size() : 1), used = taken_.size();
    if (taken_.empty()) return false;
    if (taken_[0] == 'e') channel_.closeForDrain();
    taken_.erase(0, 1);
    return true;
  }
  bool hasWholeMessage(std::string_view bytes) const override {
    return !taken_.empty() || !bytes.empty();
  }
  std::size_t undecodedBytes() const override { return taken_.size(); }
  bool hasCompletedStartup() const override { return true; }
  std::size_t pendingResponses() const override { return 0; }
  bool isPaused() const override { return false; }
  void disconnect(client::DisconnectReason) override {}
  void onClientClosed() override {}

 private:
  client::ClientChannel& channel_;
  const bool takesAll_;
  std::string taken_;
};

struct HastyProtocol : client::ClientProtocol {
  explicit HastyProtocol(bool takesAll_) : takesAll(takesAll_) {}
  std::unique_ptr<client::ClientCodec> newCodec(client::ClientChannel& channel) override {
    return std::make_unique<HastyCodec>(channel, takesAll);
  }
  std::size_t maxMessageBytes() const override { return 100; }
  const bool takesAll;
};

const client::ClientLimits kLimits{8, ms(1000), ms(1000), ms(1000), ms(1000), ms(1000), 8, 1 << 20};

void clientFaults() {
  runtime::Scheduler scheduler;
  ThrowingProtocol protocol;
  request::RequestCounters counters;
  client::ClientConnections clients(scheduler, protocol, counters, kLimits);
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

// Guards against requests that are read and never answered without anything telling it: a
// connection that the proxy closes with a whole message left is reported, wherever the message is.
void clientUndecoded() {
  for (bool takesAll : {false, true})
    for (const char* bytes : {"ae", "aeb"}) {
      runtime::Scheduler scheduler;
      HastyProtocol protocol(takesAll);
      request::RequestCounters counters;
      client::ClientConnections clients(scheduler, protocol, counters, kLimits);
      int port = clients.listen(loopbackAddress(0));
      clients.startAccepting();
      std::uint64_t before = invariants::violationCount(invariants::Rule::everyResponseSent);
      runtime::Socket socket(scheduler, runtime::startConnect(loopbackAddress(port)));
      runUntil(scheduler, [&] { return clients.sessionCount() == 1; });
      socket.write(bytes);
      std::string input;
      runUntil(scheduler,
               [&] { return socket.read(input, 10) == runtime::Socket::ReadStatus::closed; });
      socket.close();
      bool isOver = runUntil(scheduler, [&] { return clients.sessionCount() == 0; });
      std::uint64_t after = invariants::violationCount(invariants::Rule::everyResponseSent);
      std::printf("'%s', %s: over %s, reported %d\n", bytes,
                  takesAll ? "taken at once" : "taken one by one", isOver ? "yes" : "no",
                  static_cast<int>(after - before));
    }
}

runtime::Task<> flushOutput(client::Session& session, const client::SessionContext& context,
                            bool& isWritten) {
  client::SessionWriter writer(session, context);
  isWritten = co_await writer.flush();
}

// Guards against idle sessions that keep the memory of their largest response, and count with it
// against the limit for all clients: a buffer that is only emptied keeps its memory.
void clientBuffers() {
  constexpr std::size_t kResponseBytes = 300'000;
  runtime::Scheduler scheduler;
  HastyProtocol protocol(false);
  request::RequestCounters counters;
  client::SessionRegistry registry(scheduler, kLimits);
  client::SessionContext context{scheduler, protocol, counters, kLimits, registry};
  runtime::Descriptor listener(scheduler, runtime::openListener(loopbackAddress(0)));
  runtime::Socket client(scheduler,
                         runtime::startConnect(loopbackAddress(runtime::localPort(listener.fd()))));
  runtime::Accepted accepted;
  runUntil(scheduler, [&] {
    bool isAccepted = accepted.status == runtime::AcceptStatus::accepted;
    if (!isAccepted) accepted = runtime::acceptConnection(listener.fd());
    return accepted.status == runtime::AcceptStatus::accepted;
  });
  client::Session session(scheduler, protocol, accepted.fd, kResponseBytes, kNever, ms(1000));
  session.send(std::string(kResponseBytes, 'r'));
  bool isWritten = false;
  scheduler.spawn(flushOutput(session, context, isWritten));
  std::string received;
  bool hasReceived = runUntil(scheduler, [&] {
    client.read(received, kResponseBytes);
    return isWritten && received.size() == kResponseBytes;
  });
  std::printf("300 KB written: %s, kept of them at most 16 KB: %s\n", hasReceived ? "yes" : "no",
              session.bufferBytes() <= client::kReadAheadBytes ? "yes" : "no");
}

const Case kCases[] = {{"clientFaults", clientFaults},
                       {"clientUndecoded", clientUndecoded},
                       {"clientBuffers", clientBuffers}};

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return runCase(kCases, argc, argv);
}

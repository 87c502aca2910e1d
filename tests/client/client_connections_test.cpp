// An exception in the middle of a connection's work: its statements end all the same, and nothing
// of it is left. The peers are real, what is spoken on them is this test's.
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

sockaddr_in here(int port) {
  return *runtime::parseAddress("127.0.0.1:" + std::to_string(port), true);
}

// Passes until something is so, or for so long that it never will be.
bool comes(runtime::Scheduler& s, const std::function<bool()>& so) {
  for (TimePoint end = s.now() + ms(5000); !so() && s.now() < end;)
    s.runOnce(s.now() + ms(2), [] {});
  return so();
}

struct FaultyTalk : client::ClientCodec {
  bool take(std::string_view bytes, const client::Arrivals&, std::size_t&) override {
    if (bytes.empty()) return false;
    throw std::runtime_error("as it takes");
  }
  bool greeted() const override { return true; }
  std::size_t owed() const override { return 1; }
  bool full() const override { return false; }
  void part(client::DisconnectReason) override {}
  void left() override { std::printf("what it owes is withdrawn\n"); }
};

struct FaultyDoor : client::ClientProtocol {
  std::unique_ptr<client::ClientCodec> talk(client::ClientChannel&) override {
    return std::make_unique<FaultyTalk>();
  }
  std::size_t mostMessage() const override { return 100; }
};

void clientFaults() {
  runtime::Scheduler s;
  FaultyDoor door;
  request::RequestCounters account;
  client::ClientConnections clients(
      s, door, account, {8, ms(1000), ms(1000), ms(1000), ms(1000), ms(1000), 8, 1 << 20});
  int port = clients.listen(here(0));
  clients.open();
  runtime::Socket socket(s, runtime::startConnect(here(port)));
  comes(s, [&] { return clients.sessions() == 1; });
  socket.write("x");
  bool over = comes(s, [&] { return clients.sessions() == 0; });
  std::string in;
  bool ended = comes(s, [&] { return socket.read(in, 10) == runtime::Socket::ReadStatus::closed; });
  std::printf("its session is over: %s, its client sees the end: %s\n", over ? "yes" : "no",
              ended ? "yes" : "no");
}

const Case kCases[] = {{"clientFaults", clientFaults}};

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return runCase(kCases, argc, argv);
}

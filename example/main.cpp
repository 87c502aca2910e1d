// reedchute_toy: simulated stores to try out the proxy, and a client that sends one statement
// through it. See example/README.md.
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

#include "codec/pg/messages.h"
#include "toy.h"

using namespace reedchute;

namespace {

constexpr std::uint16_t kListPort = 7400, kFirstStorePort = 7401, kFirstCqlPort = 7501;
constexpr const char* kProxyAddress = "127.0.0.1:7432";

int serve() {
  runtime::Scheduler s;
  toy::Toy toy(s);
  for (std::uint16_t k = 0; k < 3; ++k)
    toy.enableCql(toy.addStore(k == 0, 1, static_cast<std::uint16_t>(kFirstStorePort + k)),
                  static_cast<std::uint16_t>(kFirstCqlPort + k));
  toy.serveList(kListPort);
  toy.onStatement = [](int store, const std::string& text) {
    std::printf("%s sees: %s\n",
                store == 0   ? "primary  "
                : store == 1 ? "replica 1"
                             : "replica 2",
                text.c_str());
  };
  std::printf(
      "a primary and two replicas at 127.0.0.1:%d to %d, in Cassandra's protocol at %d to %d, "
      "their list at %d\n",
      kFirstStorePort, kFirstStorePort + 2, kFirstCqlPort, kFirstCqlPort + 2, kListPort);
  s.run([] {});
  return 0;
}

runtime::Task<> sendStatement(runtime::Scheduler& s, std::string workload, std::string key,
                              int& status) {
  TimePoint deadline = s.now() + Duration{10'000'000};
  runtime::Socket socket(s, runtime::startConnect(*runtime::parseAddress(kProxyAddress)));
  bool isConnected = co_await runtime::awaitConnected(socket, deadline);
  if (!isConnected) {
    std::fprintf(stderr, "no front at %s\n", kProxyAddress);
    s.stop();
    co_return;
  }
  std::string id = std::to_string(s.now().us);
  std::string comment = " /* id=" + id + ",c=" + workload + ",d=3000,cluster=1";
  std::string text = workload == "write"
                         ? "INSERT INTO entries (ref, payload) VALUES ('" + key +
                               "', '\\x00') RETURNING payload" + comment + ",k=" + id + " */"
                         : "SELECT payload FROM entries WHERE ref = '" + key + "'" + comment +
                               " */";
  bool sent = co_await runtime::writeAll(socket, pg::startup("web", "orders") + pg::query(text),
                                         deadline);
  TimePoint startTime = s.now();
  std::string in;
  int readyCount = 0;
  while (sent && readyCount < 2) {
    pg::Message m;
    if (pg::frame(in, 1 << 20, m) == pg::Framed::whole) {
      double ms = (s.now() - startTime).seconds() * 1000;
      if (m.type == 'Z') ++readyCount;
      if (m.type == 'D') {
        std::printf("completed in %.1f ms: %s\n", ms,
                    std::string(pg::firstColumn(m.payload).value_or("NULL")).c_str());
        status = 0;
      }
      if (m.type == 'E') {
        std::string code(pg::errorField(m.payload, 'C')),
            retryAfter(pg::errorField(m.payload, 'D'));
        std::printf("%s in %.1f ms: %s%s\n", code == "53300" ? "rejected" : "aborted", ms,
                    std::string(pg::errorField(m.payload, 'M')).c_str(),
                    retryAfter.empty() ? "" : (", come back after " + retryAfter + " ms").c_str());
      }
      in.erase(0, m.whole.size());
      continue;
    }
    runtime::Socket::ReadStatus got = socket.read(in, 1 << 20);
    if (got == runtime::Socket::ReadStatus::closed) break;
    if (got == runtime::Socket::ReadStatus::data) continue;
    bool isReadable = co_await socket.readable.wait(deadline);
    if (!isReadable) break;
  }
  s.stop();
}

}  // namespace

int main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  try {
    if (argc == 2 && !std::strcmp(argv[1], "serve")) return serve();
    if (argc == 4 && !std::strcmp(argv[1], "ask")) {
      int status = 1;
      runtime::Scheduler s;
      s.spawn(sendStatement(s, argv[2], argv[3], status));
      s.run([] {});
      return status;
    }
  } catch (const std::exception& e) {
    std::fprintf(stderr, "reedchute_toy: %s\n", e.what());
    return 1;
  }
  std::fprintf(stderr, "reedchute_toy serve | reedchute_toy ask any|near|write KEY\n");
  return 2;
}

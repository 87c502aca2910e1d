// The HTTP connection to the discovery service, against a server of the test on a real socket.
#include "discovery/http_connection.h"

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "trace.h"

using namespace reedchute;
using test::Case;
using test::ms;
using test::runCase;

namespace {

sockaddr_in loopbackAddress(int port) {
  return *runtime::parseAddress("127.0.0.1:" + std::to_string(port), true);
}

std::string responseWith(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Responds to the first request with `first` and to each further one, on whichever connection, with
// `next`.
class Server {
 public:
  Server(runtime::Scheduler& scheduler, std::string first, std::string next)
      : scheduler_(scheduler),
        listener_(scheduler, runtime::openListener(loopbackAddress(0))),
        first_(std::move(first)),
        next_(std::move(next)) {}

  int port() const { return runtime::localPort(listener_.fd()); }
  std::size_t connectionCount() const { return connections_.size(); }
  void serve() {
    runtime::Accepted accepted = runtime::acceptConnection(listener_.fd());
    if (accepted.status == runtime::AcceptStatus::accepted)
      connections_.push_back({std::make_unique<runtime::Socket>(scheduler_, accepted.fd), {}});
    for (Connection& connection : connections_) {
      connection.socket->read(connection.input, 10'000);
      if (connection.input.find("\r\n\r\n") == std::string::npos) continue;
      connection.input.clear();
      connection.socket->write(requestCount_++ == 0 ? first_ : next_);
    }
  }

 private:
  struct Connection {
    std::unique_ptr<runtime::Socket> socket;
    std::string input;
  };

  runtime::Scheduler& scheduler_;
  runtime::Descriptor listener_;
  const std::string first_, next_;
  std::vector<Connection> connections_;
  int requestCount_ = 0;
};

runtime::Task<> getTwice(discovery::HttpConnection& connection, TimePoint until,
                         std::vector<std::string>& bodies) {
  for (int k = 0; k < 2; ++k) {
    std::optional<std::string> body = co_await connection.get("/", until);
    bodies.push_back(body.value_or("nothing"));
  }
}

// Guards against a connection that is used on although bytes came behind the response to the last
// request, in the same read: what follows them would be taken for the next response.
void httpUnsolicited() {
  std::string old = responseWith("old");
  for (std::size_t surplus : {std::size_t{0}, std::size_t{1}, old.size() / 2, old.size()}) {
    runtime::Scheduler scheduler;
    Server server(scheduler, responseWith("first") + old.substr(0, surplus),
                  responseWith("second"));
    discovery::HttpConnection connection(scheduler, loopbackAddress(server.port()), "test",
                                         {.connectTimeout = ms(1000), .maxBodyBytes = 10'000});
    std::vector<std::string> bodies;
    TimePoint until = scheduler.now() + ms(5000);
    scheduler.spawn(getTwice(connection, until, bodies));
    while (bodies.size() < 2 && scheduler.now() < until) {
      server.serve();
      scheduler.runOnce(scheduler.now() + ms(1), [] {});
    }
    std::printf("%zu bytes behind the response: %s, %s, %zu connections\n", surplus,
                bodies.empty() ? "" : bodies[0].c_str(), bodies.size() < 2 ? "" : bodies[1].c_str(),
                server.connectionCount());
  }
}

const Case kCases[] = {{"httpUnsolicited", httpUnsolicited}};

}  // namespace

int main(int argc, char** argv) {
  return runCase(kCases, argc, argv);
}

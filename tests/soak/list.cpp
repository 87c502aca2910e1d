// Endpoint list service: two agents for each front, between which a reload of the configuration may
// switch.
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <thread>

#include "peers.h"
#include "sockets.h"

namespace soak {
namespace {

std::string entry(const Control& control, int store) {
  const StoreControl& s = control.stores[store];
  int listed = s.listed;
  const char* state = listed == static_cast<int>(ListState::up)         ? "up"
                      : listed == static_cast<int>(ListState::draining) ? "draining"
                                                                        : "removed";
  return "{\"id\":\"s-" + std::to_string(store) +
         "\",\"addr\":\"127.0.0.1:" + std::to_string(s.proxyPort) +
         "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":" + std::to_string(s.group) + ",\"state\":\"" +
         state + "\",\"weight\":1.0,\"started_ms\":" + std::to_string(s.startedMs) +
         ",\"access\":\"" + (s.primary ? "writer" : "reader") + "\"}";
}

std::string listing(std::int64_t version, bool full, const std::string& entries) {
  return "{\"version\":" + std::to_string(version) + ",\"full\":" + (full ? "true" : "false") +
         ",\"servers\":[" + entries + "]}";
}

std::string changesSince(const Control& control, std::int64_t version, std::int64_t known) {
  std::string entries;
  for (int k = 0; k < control.storeCount; ++k)
    if (control.stores[k].listed != static_cast<int>(ListState::absent) &&
        control.changedAt[k] > known)
      entries += (entries.empty() ? "" : ",") + entry(control, k);
  return listing(version, false, entries);
}

std::int64_t parseNumberAfter(const std::string& head, const std::string& name) {
  std::size_t at = head.find(name);
  return at == std::string::npos
             ? -1
             : static_cast<std::int64_t>(numberOf(head.substr(at + name.size())));
}

class ListConnection {
 public:
  ListConnection(Control& control, const ListOptions::Agent& agent, const Recorder& recorder,
                 int socket)
      : control_(control),
        agent_(agent),
        recorder_(recorder),
        socket_(socket),
        resets_(control.resetLists) {}

  void run() {
    std::string in;
    while (answerNext(in)) {
    }
    if (resets_ != control_.resetLists)
      closeWithReset(socket_);
    else
      close(socket_);
  }

 private:
  ListMode mode() const { return static_cast<ListMode>(control_.listMode[agent_.which].load()); }

  bool answerNext(std::string& in) {
    std::size_t end;
    while ((end = in.find("\r\n\r\n")) == std::string::npos) {
      if (resets_ != control_.resetLists) return false;
      pollfd waits{socket_, POLLIN, 0};
      if (poll(&waits, 1, 10) > 0 && readSome(socket_, in) <= 0) return false;
    }
    std::string head = in.substr(0, end);
    in.erase(0, end + 4);
    std::int64_t known = parseNumberAfter(head, "index="), waitMs = parseNumberAfter(head, "wait=");
    if (mode() == ListMode::unavailable)
      return writeAll(socket_, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    std::int64_t until = monotonicUs() + waitMs * 1000;
    while (known >= 0 && control_.listVersion <= known && monotonicUs() < until) {
      if (!isConnected()) return false;
      usleep(2'000);
    }
    if (mode() == ListMode::slow) usleep(300'000);
    while (mode() == ListMode::silent) {
      if (!isConnected()) return false;
      usleep(5'000);
    }
    // The version must be read before the entries: a change made in between is then sent again with
    // the next version instead of being lost.
    std::int64_t version = control_.listVersion;
    std::string body = known < 0 ? wholeList(control_) : changesSince(control_, version, known);
    bool written = writeAll(
        socket_, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
    if (written) recorder_.add({.kind = Kind::listTold, .front = agent_.front, .value = version});
    return written;
  }
  // Returns false once the front has disconnected or all connections are to be reset.
  bool isConnected() {
    if (resets_ != control_.resetLists) return false;
    char byte;
    return recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
  }

  Control& control_;
  ListOptions::Agent agent_;
  const Recorder& recorder_;
  int socket_, resets_;
};

}  // namespace

std::string wholeList(const Control& control) {
  std::int64_t version = control.listVersion;
  std::string entries;
  for (int k = 0; k < control.storeCount; ++k) {
    int listed = control.stores[k].listed;
    if (listed == static_cast<int>(ListState::up) ||
        listed == static_cast<int>(ListState::draining))
      entries += (entries.empty() ? "" : ",") + entry(control, k);
  }
  return listing(version, true, entries);
}

void runList(Control& control, const ListOptions& options) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  Recorder recorder(options.events);
  std::vector<std::thread> accepting;
  for (const ListOptions::Agent& agent : options.agents)
    accepting.emplace_back([&control, &recorder, agent] {
      for (;;) {
        int socket = accept4(agent.socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket >= 0)
          std::thread([&control, &recorder, agent, socket] {
            ListConnection(control, agent, recorder, socket).run();
          }).detach();
      }
    });
  for (std::thread& t : accepting) t.join();
  _exit(0);
}

}  // namespace soak

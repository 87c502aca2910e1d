// Test client of the PostgreSQL protocol, whose steps the test controls one by one.
#pragma once

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "codec/pg/messages.h"
#include "drive.h"

namespace reedchute::test {

using runtime::Socket;

// Removes the complete messages from `in` and describes them in words.
inline std::string describeMessages(std::string& in) {
  std::string description;
  pg::Message m;
  while (pg::frame(in, 1 << 20, m) == pg::Framed::whole) {
    auto add = [&](const std::string& s) { description += (description.empty() ? "" : ", ") + s; };
    std::string code(pg::errorField(m.payload, 'C')), detail(pg::errorField(m.payload, 'D'));
    if (m.type == 'D') {
      auto value = pg::firstColumn(m.payload);
      add(value ? "row '" + std::string(value->substr(0, 40)) + "'" : "a broken row");
    } else if (m.type == 'E') {
      add(std::string(pg::errorField(m.payload, 'S')) + " " + code +
          (detail.empty() ? "" : ", come back after " + detail));
    } else if (m.type == 'I') {
      add("empty");
    } else if (m.type == 'Z') {
      add("ready");
    } else if (m.type == 'R') {
      add("welcome");
    }
    in.erase(0, m.whole.size());
  }
  return description;
}

// Returns the outcome of a statement from the description of its answer.
inline const char* outcomeOf(const std::string& words) {
  auto has = [&](const char* word) { return words.find(word) != std::string::npos; };
  if (has("ERROR") || has("FATAL"))
    return has(" 53300") ? "rejected" : has(" 57014") ? "aborted" : "invalid";
  return has("row") ? "completed" : "closed";
}

class Client {
 public:
  // `narrow`: uses small buffers, so that only few bytes can be in transit to the client unread.
  explicit Client(Drive& drive, bool greet = true, bool narrow = false) : d(drive) {
    socket = narrow ? d.dial(d.port, narrowTo) : d.dial(d.port);
    if (greet) send(pg::startup("web", "orders")), get(1);
  }
  static int narrowTo(const sockaddr_in& a) {
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), room = 32 * 1024,
        segment = 536;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a);
    return fd;
  }
  void send(std::string_view bytes) { d.put(*socket, bytes); }
  // Waits for `readies` ReadyForQuery messages or for the end of the connection, and describes what
  // arrived.
  std::string get(int readies = 1) {
    std::string description;
    d.until("an answer", [&] {
      ended = ended || socket->read(in, 1 << 22) == Socket::ReadStatus::closed;
      std::string more = describeMessages(in);
      for (std::size_t k = 0; (k = more.find("ready", k)) != std::string::npos; ++k) --readies;
      if (!more.empty()) description += (description.empty() ? "" : ", ") + more;
      return readies <= 0 || ended;
    });
    return description + (ended ? (description.empty() ? "closed" : ", closed") : "");
  }
  static std::string read(const std::string& key, int wait = 3000, const char* workload = "any") {
    return "SELECT payload FROM entries WHERE ref = '" + key + "' /* id=" + std::to_string(++ids) +
           ",c=" + workload + ",cluster=7,d=" + std::to_string(wait) + " */";
  }
  static std::string write(const std::string& key, int wait = 3000,
                           const char* workload = "write") {
    return "INSERT INTO entries (ref, payload) VALUES ('" + key +
           "', '\\x9f') RETURNING payload /* id=" + std::to_string(++ids) + ",c=" + workload +
           ",k=5c,cluster=7,d=" + std::to_string(wait) + " */";
  }
  std::string ask(const std::string& text) {
    send(pg::query(text));
    return get();
  }
  // Sends a statement and prints its answer and how often it was sent to stores.
  void asks(const char* what, const std::string& text) {
    int before = d.sent;
    std::string got = ask(text);
    std::printf("%s: %s; %d sent\n", what, got.c_str(), d.sent - before);
  }

  // Closes the connection with a reset, as when the client process is killed.
  void reset() {
    linger now{1, 0};
    setsockopt(socket->fd(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    socket->close();
  }

  Drive& d;
  std::unique_ptr<Socket> socket;
  std::string in;
  bool ended = false;
  static inline int ids = 0;
};

// Waits until something has arrived at the front's sockets (see Drive::countSockets). The kernel's
// table may omit a line while other connections are opened and closed, so `so` must be true three
// times in a row.
inline void waitUntilArrived(Drive& d, const std::function<bool()>& so) {
  int times = 0;
  d.until("it has come", [&] { return (times = so() ? times + 1 : 0) == 3; });
}

// Waits until a store has received a statement. `before`: Drive::sent before it was sent.
inline void waitUntilStoreReceives(Drive& d, int before) {
  d.until("a store sees it", [&] { return d.sent > before; });
}

// Counts the statements with this key that stores receive from now on, and calls `then` for each.
class Seen {
 public:
  Seen(
      Drive& d, std::string key, std::function<void()> then = [] {}) {
    d.toy.onStatement = [this, &d, before = d.toy.onStatement, key = "'" + key + "'", then](
                            int store, const std::string& text) {
      before(store, text);
      if (text.find(key) != std::string::npos) ++times, then();
    };
  }
  int times = 0;
};

}  // namespace reedchute::test

// A store: one database process, either the primary or a replica whose replication log may be
// frozen.
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <random>
#include <thread>

#include "peers.h"
#include "sockets.h"

namespace soak {
namespace {

class Store {
 public:
  Store(Control& control, const StoreOptions& options)
      : control_(control.stores[options.index]), index_(options.index), recorder_(options.events) {}

  [[noreturn]] void run() {
    int port = 0, listener = listenOn("127.0.0.1", port);
    control_.backendPort = port;
    for (;;) {
      int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket >= 0) std::thread([this, socket] { serve(socket); }).detach();
    }
  }

 private:
  std::int64_t positionUs() const {
    std::int64_t frozen = control_.frozenAt;
    return control_.primary || frozen == 0 ? wallUs() : frozen;
  }
  std::string role() const {
    return parameter("server_role", control_.primary ? "writer" : "reader");
  }
  bool oneIn(int n) {
    thread_local std::minstd_rand random(static_cast<unsigned>(monotonicUs()));
    return n > 0 && random() % static_cast<unsigned>(n) == 0;
  }
  void record(Kind kind, std::uint64_t statement, Answer code = Answer::served,
              std::int64_t value = 0) const {
    recorder_.add({.kind = kind,
                   .statement = statement,
                   .store = index_,
                   .code = static_cast<int>(code),
                   .value = value});
  }

  void serve(int socket) {
    std::string in;
    while (!takeStartup(in))
      if (readSome(socket, in) <= 0) return void(close(socket));
    bool open = writeAll(socket, greeting());
    while (open) {
      if (auto m = takeMessage(in))
        open = m->type == 'Q' && answer(socket, m->payload);
      else
        open = readSome(socket, in) > 0;
    }
    close(socket);
  }

  bool answer(int socket, const std::string& payload) {
    std::string text = payload.substr(0, payload.find('\0'));
    if (text == "SHOW usage") {
      std::string report = "x0=" + std::to_string(static_cast<double>(positionUs()) / 1e6) +
                           ",x1=" + (control_.primary ? "1" : "0") + ",inflight=0";
      return writeAll(socket, rowMessage(report) + role() + readyMessage());
    }
    return execute(socket, text);
  }

  bool execute(int socket, const std::string& text) {
    std::uint64_t id = numberOf(field(text, "id"));
    std::int64_t position = positionUs();
    bool primary = control_.primary, write = text.rfind("INSERT", 0) == 0;
    record(Kind::storeReceived, id, Answer::served, primary ? 0 : wallUs() - position);
    while (control_.hangs) usleep(2'000);
    if (write && !primary)
      return reply(socket, id, Answer::miss, errorMessage("25006", "no primary"));
    if (oneIn(control_.refusesOneIn))
      return reply(socket, id, Answer::refused, errorMessage("53300", "full"));
    usleep(static_cast<useconds_t>(control_.serviceUs.load()));
    record(Kind::storeRan, id);
    if (oneIn(control_.spoilsOneIn)) {
      record(Kind::storeReplied, id, Answer::garbage);
      writeAll(socket, std::string("\x01\xff\xff\xff\xff garbage"));
      return false;
    }
    if (oneIn(control_.failsOneIn))
      return reply(socket, id, Answer::failed, errorMessage("XX000", "it went wrong"));
    std::string row = rowMessage("value of " + std::to_string(id));
    if (write) row += parameter("commit_clock", std::to_string(wallUs() / 1000 + 1));
    return reply(socket, id, Answer::served, row);
  }

  bool reply(int socket, std::uint64_t id, Answer code, const std::string& bytes) {
    record(Kind::storeReplied, id, code);
    return writeAll(socket, bytes + role() + readyMessage());
  }

  StoreControl& control_;
  int index_;
  Recorder recorder_;
};

}  // namespace

void runStore(Control& control, const StoreOptions& options) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  Store(control, options).run();
}

}  // namespace soak

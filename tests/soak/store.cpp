// A store: one database process, either the primary or a replica whose replication log may be
// frozen.
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <mutex>
#include <random>
#include <semaphore>
#include <thread>

#include "peers.h"
#include "sockets.h"

namespace soak {
namespace {

class Store {
 public:
  Store(Control& control, const StoreOptions& options)
      : control_(control.stores[options.index]),
        terms_(control.storeTerms),
        index_(options.index),
        startedAt_(options.startsCold ? monotonicUs() : monotonicUs() - terms_.rampUs),
        workers_(terms_.workers),
        recorder_(options.events) {}

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
    if (text.empty()) return writeAll(socket, message('I', "") + readyMessage());
    return execute(socket, text);
  }

  bool execute(int socket, const std::string& text) {
    std::uint64_t id = numberOf(field(text, "id"));
    std::int64_t position = positionUs();
    bool primary = control_.primary, write = text.rfind("INSERT", 0) == 0;
    record(Kind::storeReceived, id, Answer::served, primary ? 0 : wallUs() - position);
    failIfOverrun();
    while (control_.hangs) usleep(2'000);
    if (write && !primary)
      return reply(socket, id, Answer::miss, errorMessage("25006", "no primary"));
    if (oneIn(control_.refusesOneIn))
      return reply(socket, id, Answer::refused, errorMessage("53300", "full"));
    if (!executeOnWorker())
      return reply(socket, id, Answer::refused, errorMessage("53300", "full"));
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

  // Waits for a worker and keeps it busy for the service time, longer while the store is cold.
  // Returns false if too many statements wait already.
  bool executeOnWorker() {
    if (++queued_ > terms_.maxQueued) {
      --queued_;
      return false;
    }
    workers_.acquire();
    --queued_;
    double service = control_.serviceUs / terms_.warmth(monotonicUs() - startedAt_);
    usleep(static_cast<useconds_t>(service));
    workers_.release();
    return true;
  }

  // Ends a cold store that got more statements in its window than it bears.
  void failIfOverrun() {
    std::int64_t now = monotonicUs();
    if (!terms_.fails || now - startedAt_ >= terms_.rampUs) return;
    std::lock_guard lock(arrivalsMutex_);
    arrivals_.push_back(now);
    while (arrivals_.front() <= now - terms_.windowUs) arrivals_.pop_front();
    std::int64_t windowAge = std::max<std::int64_t>(0, now - terms_.windowUs - startedAt_);
    double most = mostInWindow(terms_.capacityInWindow(), terms_.warmth(windowAge));
    auto received = static_cast<std::int64_t>(arrivals_.size());
    if (static_cast<double>(received) <= most) return;
    record(Kind::storeFailed, 0, Answer::served, received);
    control_.backendPort = 0;
    _exit(0);
  }

  bool reply(int socket, std::uint64_t id, Answer code, const std::string& bytes) {
    record(Kind::storeReplied, id, code);
    return writeAll(socket, bytes + role() + readyMessage());
  }

  static constexpr std::ptrdiff_t kMaxWorkers = 4096;

  StoreControl& control_;
  const StoreTerms terms_;
  int index_;
  std::int64_t startedAt_;
  std::counting_semaphore<kMaxWorkers> workers_;
  std::atomic<int> queued_{0};
  std::mutex arrivalsMutex_;
  std::deque<std::int64_t> arrivals_;  // of the present window
  Recorder recorder_;
};

}  // namespace

void runStore(Control& control, const StoreOptions& options) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  Store(control, options).run();
}

}  // namespace soak

// The fault-injecting proxy between fronts and stores.
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <random>
#include <thread>

#include "peers.h"
#include "sockets.h"

namespace soak {
namespace {

constexpr int kConnectMs = 500;

class ProxiedConnection {
 public:
  ProxiedConnection(StoreControl& control, int client, int pollMs)
      : control_(control), client_(client), pollMs_(pollMs), resets_(control.resetAll) {}

  void run() {
    if (int delay = control_.connectDelayMs; delay > 0)
      usleep(static_cast<useconds_t>(delay) * 1000);
    while (control_.blackhole) usleep(static_cast<useconds_t>(pollMs_) * 1000);
    int port = control_.backendPort;
    store_ = port > 0 ? connectTo("127.0.0.1", port, kConnectMs) : -1;
    if (store_ < 0) return closeWithReset(client_);
    lastByte_ = monotonicUs();
    while (forwardNext()) {
    }
  }

 private:
  // Forwards the next bytes; returns false once both sockets are closed.
  bool forwardNext() {
    if (resets_ != control_.resetAll) return closeBoth(true);
    if (control_.blackhole) {
      usleep(static_cast<useconds_t>(pollMs_) * 1000);
      return true;
    }
    int idle = control_.closeIdleMs;
    if (idle > 0 && monotonicUs() - lastByte_ > idle * 1000) return closeBoth(false);
    pollfd ends[2] = {{client_, POLLIN, 0}, {store_, POLLIN, 0}};
    if (poll(ends, 2, pollMs_) <= 0) return true;
    if (control_.blackhole) return true;
    if (ends[0].revents && !forward(client_, store_)) return false;
    return !ends[1].revents || forward(store_, client_);
  }
  bool forward(int from, int to) {
    std::string bytes;
    if (readSome(from, bytes) <= 0)
      return closeBoth(from == store_ && bytes.empty() && control_.backendPort == 0);
    lastByte_ = monotonicUs();
    int oneIn = control_.resetOneIn;
    if (oneIn > 0 && random_() % static_cast<unsigned>(oneIn) == 0) {
      // Reset either before the bytes are forwarded or after half of them.
      if (random_() % 2) writeAll(to, std::string_view(bytes).substr(0, bytes.size() / 2));
      return closeBoth(true);
    }
    return writeAll(to, bytes) || closeBoth(false);
  }
  bool closeBoth(bool resets) {
    resets ? closeWithReset(client_) : static_cast<void>(close(client_));
    close(store_);
    return false;
  }

  StoreControl& control_;
  int client_, pollMs_, store_ = -1, resets_;
  std::int64_t lastByte_ = 0;
  std::minstd_rand random_{static_cast<unsigned>(monotonicUs())};
};

}  // namespace

void runProxy(Control& control, const ProxyOptions& options) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  std::vector<std::thread> accepting;
  for (auto [store, listener] : options.listeners)
    accepting.emplace_back([&control, store = store, listener = listener, pollMs = options.pollMs] {
      for (;;) {
        int client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (client >= 0)
          std::thread([&control, store, client, pollMs] {
            ProxiedConnection(control.stores[store], client, pollMs).run();
          }).detach();
      }
    });
  for (std::thread& t : accepting) t.join();
  _exit(0);
}

}  // namespace soak

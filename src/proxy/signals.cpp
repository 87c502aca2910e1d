#include "proxy/signals.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>

#include "log/log.h"
#include "proxy/startup_retry.h"
#include "runtime/system_error.h"

namespace reedchute::proxy {
namespace {

sigset_t heldSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, number);
  return signals;
}

int openSignals() {
  return retryAtStart([] {
    sigset_t signals = heldSignals();
    int fd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (fd < 0) runtime::throwErrno("signals can't be read");
    return fd;
  });
}

}  // namespace

void holdSignals() {
  sigset_t signals = heldSignals();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

SignalWatcher::SignalWatcher(runtime::Scheduler& scheduler, runtime::Event& shutdown,
                             runtime::Event& reload)
    : signals_(scheduler, openSignals()), shutdown_(shutdown), reload_(reload) {}

runtime::Task<> SignalWatcher::run() {
  for (;;) {
    signalfd_siginfo info;
    ssize_t received = read(signals_.fd(), &info, sizeof info);
    if (received == sizeof info) {
      log::line("signal", "number=%u", info.ssi_signo);
      runtime::Event& event = info.ssi_signo == SIGHUP ? reload_ : shutdown_;
      event.set();
      continue;
    }
    // No edge comes for a signal that is pending already, so an interrupted read is made again.
    if (received < 0 && errno == EINTR) continue;
    co_await signals_.readable.wait();
  }
}

}  // namespace reedchute::proxy

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

sigset_t handledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, number);
  return signals;
}

int openSignalDescriptor() {
  return retryAtStart([] {
    sigset_t signals = handledSignals();
    int fd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (fd < 0) runtime::throwErrno("can't open a descriptor for signals");
    return fd;
  });
}

}  // namespace

void blockSignals() {
  sigset_t signals = handledSignals();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

SignalWatcher::SignalWatcher(runtime::Scheduler& scheduler, runtime::Event& shutdown,
                             runtime::Event& reload)
    : signalDescriptor_(scheduler, openSignalDescriptor()), shutdown_(shutdown), reload_(reload) {}

runtime::Task<> SignalWatcher::run() {
  for (;;) {
    signalfd_siginfo info;
    ssize_t received = read(signalDescriptor_.fd(), &info, sizeof info);
    if (received == sizeof info) {
      log::line("signal", "number=%u", info.ssi_signo);
      runtime::Event& event = info.ssi_signo == SIGHUP ? reload_ : shutdown_;
      event.set();
      continue;
    }
    // The descriptor is edge-triggered and reports no edge for a signal that is already pending, so
    // an interrupted read must be repeated at once.
    if (received < 0 && errno == EINTR) continue;
    co_await signalDescriptor_.readable.wait();
  }
}

}  // namespace reedchute::proxy

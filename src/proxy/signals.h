// Turns signals into scheduler events: SIGTERM and SIGINT request the shutdown, SIGHUP a reload of
// the configuration.
#pragma once

#include "runtime/descriptor.h"

namespace reedchute::proxy {

// Blocks these signals, so that they stay pending until a SignalWatcher reads them, and ignores
// SIGPIPE. Must be called before any thread is started.
void blockSignals();

class SignalWatcher {
 public:
  // Opens a signalfd(2) descriptor. Throws std::system_error. The events must outlive the watcher.
  SignalWatcher(runtime::Scheduler& scheduler, runtime::Event& shutdown, runtime::Event& reload);

  // Sets the matching event for each signal received. Never returns.
  runtime::Task<> run();

 private:
  runtime::Descriptor signalDescriptor_;
  runtime::Event& shutdown_;
  runtime::Event& reload_;
};

}  // namespace reedchute::proxy

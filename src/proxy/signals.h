// Signals as events of the scheduler: SIGTERM and SIGINT ask for the shutdown, SIGHUP for a reload
// of the configuration.
#pragma once

#include "runtime/descriptor.h"

namespace reedchute::proxy {

// Blocks these signals, so that they wait for a SignalWatcher, and ignores SIGPIPE. To be called
// before any thread is started.
void holdSignals();

class SignalWatcher {
 public:
  // Opens the descriptor; throws std::system_error.
  SignalWatcher(runtime::Scheduler& scheduler, runtime::Event& shutdown, runtime::Event& reload);

  // Sets an event for each signal, for as long as the process runs.
  runtime::Task<> run();

 private:
  runtime::Descriptor signals_;
  runtime::Event& shutdown_;
  runtime::Event& reload_;
};

}  // namespace reedchute::proxy

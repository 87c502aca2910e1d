// Reads the configuration again when it is asked to, and applies what may change while the process
// runs: the address of the discovery service.
#pragma once

#include "config/config.h"
#include "discovery/endpoint_watcher.h"
#include "runtime/event.h"

namespace reedchute::proxy {

class ConfigReloader {
 public:
  // `config` gets the applied fields.
  ConfigReloader(runtime::Scheduler& scheduler, config::Config& config,
                 discovery::EndpointWatcher& watcher)
      : scheduler_(scheduler), config_(config), watcher_(watcher), requested_(scheduler) {}

  // Set this event to have the configuration read.
  runtime::Event& requested() { return requested_; }

  // Serves requests for as long as the process runs.
  runtime::Task<> run();
  // From now on requests change nothing, which the log tells once.
  void stop() { isStopped_ = true; }

 private:
  bool reload();  // false if the file can't be read

  runtime::Scheduler& scheduler_;
  config::Config& config_;
  discovery::EndpointWatcher& watcher_;
  runtime::Event requested_;
  bool isStopped_ = false;
};

}  // namespace reedchute::proxy

// Reloads the configuration file on request and applies the settings that can change while the
// process runs: the address of the discovery service.
#pragma once

#include "config/config.h"
#include "discovery/endpoint_watcher.h"
#include "runtime/event.h"

namespace reedchute::proxy {

class ConfigReloader {
 public:
  // Applied settings are written to `config`. All arguments must outlive the reloader.
  ConfigReloader(runtime::Scheduler& scheduler, config::Config& config,
                 discovery::EndpointWatcher& watcher)
      : scheduler_(scheduler), config_(config), watcher_(watcher), requestEvent_(scheduler) {}

  // Set this event to request a reload.
  runtime::Event& requestEvent() { return requestEvent_; }

  // Handles reload requests until stop() is called.
  runtime::Task<> run();
  // Ignores all later requests; the first of them is logged.
  void stop() { isStopped_ = true; }

 private:
  bool reload();  // false if the file can't be read or is invalid

  runtime::Scheduler& scheduler_;
  config::Config& config_;
  discovery::EndpointWatcher& watcher_;
  runtime::Event requestEvent_;
  bool isStopped_ = false;
};

}  // namespace reedchute::proxy

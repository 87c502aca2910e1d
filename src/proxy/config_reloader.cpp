#include "proxy/config_reloader.h"

#include <exception>

#include "log/log.h"
#include "runtime/backoff.h"

namespace reedchute::proxy {
namespace {

constexpr Duration kRetryWindow{10'000'000};  // after a request
constexpr double kFirstRetryTicks = 4;

}  // namespace

// The file may be half written when the request comes, or no descriptor may be left to open it. As
// no second request would follow, reading it is retried.
runtime::Task<> ConfigReloader::run() {
  for (;;) {
    co_await requested_.wait();
    if (isStopped_) break;
    runtime::Backoff backoff(config_.engineSettings.tick * kFirstRetryTicks,
                             config_.engineSettings.connectTimeout);
    TimePoint until = scheduler_.now() + kRetryWindow;
    while (!isStopped_ && !reload() && scheduler_.now() < until) {
      TimePoint nextTry = scheduler_.now() + backoff.nextDelay(scheduler_.now());
      bool requestedAgain = co_await requested_.wait(nextTry);
      if (!requestedAgain) continue;
      until = scheduler_.now() + kRetryWindow;
      backoff.reset();
    }
  }
  log::line("reload_ignored", "what=\"shutting down\"");
}

bool ConfigReloader::reload() {
  config::Config next;
  try {
    next = config::loadConfig(config_.path.c_str());
  } catch (const std::exception& error) {
    log::line("reload_bad", "what=\"%s\"", error.what());
    return false;
  }
  for (const char* field : config::fieldsNeedingRestart(config_, next))
    log::line("reload_ignored", "field=%s", field);
  log::line("reload", "discovery=%s", next.discoveryHost.c_str());
  config_.discoveryAddress = next.discoveryAddress;
  config_.discoveryHost = next.discoveryHost;
  watcher_.setService(next.discoveryAddress, next.discoveryHost);
  return true;
}

}  // namespace reedchute::proxy

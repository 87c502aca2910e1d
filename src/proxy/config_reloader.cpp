#include "proxy/config_reloader.h"

#include <exception>

#include "log/log.h"
#include "runtime/backoff.h"

namespace reedchute::proxy {
namespace {

constexpr Duration kRetryWindow{10'000'000};  // 10 s after a request
constexpr double kFirstRetryTicks = 4;

}  // namespace

// A failed reload is retried, because no second request follows: the file may be only partly
// written when the request arrives, or no descriptor may be free to open it.
runtime::Task<> ConfigReloader::run() {
  for (;;) {
    co_await requestEvent_.wait();
    if (isStopped_) break;
    runtime::Backoff backoff(config_.engineSettings.tick * kFirstRetryTicks,
                             config_.engineSettings.connectTimeout);
    TimePoint retryUntil = scheduler_.now() + kRetryWindow;
    while (!isStopped_ && !reload() && scheduler_.now() < retryUntil) {
      TimePoint nextTry = scheduler_.now() + backoff.nextDelay(scheduler_.now());
      bool requestedAgain = co_await requestEvent_.wait(nextTry);
      if (!requestedAgain) continue;
      retryUntil = scheduler_.now() + kRetryWindow;
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

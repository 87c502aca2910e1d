// The reedchute program. Its configuration is the file that LB_CONFIG names; further settings come
// from the HCL file that --settings names.
#include <sys/syscall.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "log/log.h"
#include "proxy/proxy.h"
#include "proxy/signals.h"
#include "proxy/startup_retry.h"

namespace {

// The libraries take milliseconds to begin, and a signal that comes meanwhile would end the
// process. What stands in this section runs before them and can't rely on the C library yet.
void holdSignalsEarly(int, char**, char**) {
  std::uint64_t signals = 0;
  for (int number : {SIGTERM, SIGINT, SIGHUP}) signals |= std::uint64_t{1} << (number - 1);
  syscall(SYS_rt_sigprocmask, SIG_BLOCK, &signals, nullptr, sizeof signals);
}
__attribute__((section(".preinit_array"),
               used)) void (*const kHoldSignalsBeforeMain)(int, char**, char**) = &holdSignalsEarly;

void serve(const std::string& settingsPath) {
  using namespace reedchute;
  config::Config config =
      proxy::retryAtStart([] { return config::loadConfig(std::getenv("LB_CONFIG")); });
  if (!settingsPath.empty()) config::addSettings(config, settingsPath);
  proxy::Proxy proxy(std::move(config));
  proxy.run();
}

int runProgram(int argc, char** argv) {
  CLI::App app("A proxy before a primary and its replicas.", "reedchute");
  std::string settingsPath;
  app.add_option("--settings", settingsPath, "our own settings, in HCL (docs/cql-operators.md)");
  CLI11_PARSE(app, argc, argv);
  reedchute::proxy::holdSignals();
  reedchute::log::setNonBlocking();
  serve(settingsPath);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return runProgram(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "reedchute: %s\n", error.what());
    return 1;
  }
}

// The reedchute program. The environment variable LB_CONFIG names the platform's configuration file
// (JSON); the option --settings names an HCL file with reedchute's own settings.
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

// Initializing the shared libraries takes milliseconds, and a signal that arrives meanwhile would
// terminate the process. Functions in .preinit_array run before these initializers. They can't rely
// on the C library, hence the direct system call.
void blockSignalsEarly(int, char**, char**) {
  std::uint64_t signals = 0;
  for (int number : {SIGTERM, SIGINT, SIGHUP}) signals |= std::uint64_t{1} << (number - 1);
  syscall(SYS_rt_sigprocmask, SIG_BLOCK, &signals, nullptr, sizeof signals);
}
__attribute__((section(".preinit_array"),
               used)) void (*const kBlockSignalsBeforeMain)(int, char**,
                                                            char**) = &blockSignalsEarly;

void serve(const std::string& settingsPath) {
  using namespace reedchute;
  config::Config config =
      proxy::retryAtStart([] { return config::loadConfig(std::getenv("LB_CONFIG")); });
  if (!settingsPath.empty()) config::addSettings(config, settingsPath);
  proxy::Proxy proxy(std::move(config));
  proxy.run();
}

int runProgram(int argc, char** argv) {
  CLI::App app("A proxy in front of a primary database and its replicas.", "reedchute");
  std::string settingsPath;
  app.add_option("--settings", settingsPath,
                 "file with reedchute's own settings, in HCL (docs/cql-operators.md)");
  CLI11_PARSE(app, argc, argv);
  reedchute::proxy::blockSignals();
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

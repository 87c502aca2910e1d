// reedchute: the front on sockets. What it is told comes from the file that LB_CONFIG names, and
// from our own settings where --settings names a file of them.
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
#include "proxy/startup.h"

namespace {

// Danger: the libraries take milliseconds to begin, and a signal that comes meanwhile would end the
// process. What stands in this section runs before them; the C library's own functions can't be
// relied on yet.
void holdSignalsEarly(int, char**, char**) {
  std::uint64_t signals = 0;
  for (int number : {SIGTERM, SIGINT, SIGHUP}) signals |= std::uint64_t{1} << (number - 1);
  syscall(SYS_rt_sigprocmask, SIG_BLOCK, &signals, nullptr, sizeof signals);
}
__attribute__((section(".preinit_array"),
               used)) void (*const kHoldSignalsBeforeMain)(int, char**, char**) = &holdSignalsEarly;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("A proxy before a primary and its replicas.", "reedchute");
  std::string settings;
  app.add_option("--settings", settings, "our own settings, in HCL (docs/cql-operators.md)");
  CLI11_PARSE(app, argc, argv);
  reedchute::proxy::Proxy::holdSignals();
  reedchute::log::setNonBlocking();
  try {
    reedchute::proxy::Config config = reedchute::proxy::retryAtStart(
        [] { return reedchute::proxy::loadConfig(std::getenv("LB_CONFIG")); });
    if (!settings.empty()) reedchute::proxy::addSettings(config, settings);
    reedchute::proxy::Proxy front(std::move(config));
    front.run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "reedchute: %s\n", e.what());
    return 1;
  }
  return 0;
}

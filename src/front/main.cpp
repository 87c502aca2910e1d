// reedchute: the front on sockets. What it is told comes from the file that LB_CONFIG names, and from our own settings
// where --settings names a file of them.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "front/front.h"
#include "front/startup.h"
#include "log/log.h"

int main(int argc, char** argv) {
  CLI::App app("A proxy before a primary and its replicas.", "reedchute");
  std::string settings;
  app.add_option("--settings", settings, "our own settings, in HCL (docs/cql-operators.md)");
  CLI11_PARSE(app, argc, argv);
  // Danger: a signal that comes before the front takes it over would end the program.
  reedchute::front::Front::holdSignals();
  reedchute::log::neverBlock();
  try {
    reedchute::front::Given given =
        reedchute::front::retryAtStart([] { return reedchute::front::readGiven(std::getenv("LB_CONFIG")); });
    if (!settings.empty()) reedchute::front::addSettings(given, settings);
    reedchute::front::Front front(std::move(given));
    front.run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "reedchute: %s\n", e.what());
    return 1;
  }
  return 0;
}

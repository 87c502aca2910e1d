// reedchute: the front on sockets. All that it is told comes from the file that LB_CONFIG names.
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "front/front.h"
#include "log/log.h"

int main() {
  // Danger: a signal that comes before the front takes it over would end the program.
  reedchute::front::Front::holdSignals();
  reedchute::log::neverBlock();
  try {
    reedchute::front::Front front(reedchute::front::readGiven(std::getenv("LB_CONFIG")));
    front.run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "reedchute: %s\n", e.what());
    return 1;
  }
  return 0;
}

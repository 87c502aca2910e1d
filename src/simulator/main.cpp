// reedchute_wirehost: reads the simulator's wire on standard input, answers on standard output.
#include <cstdio>
#include <iostream>
#include <string>

#include "simulator/adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  reedchute::simulator::Adapter adapter;
  std::string text, reply;
  long number = 0;
  try {
    while (std::getline(std::cin, text)) {
      ++number;
      if (!adapter.line(text, reply)) continue;
      std::cout << reply;
      std::cout.flush();
    }
    if (adapter.insideBatch()) throw reedchute::InvalidInput("the input ended inside a batch");
  } catch (const std::exception& e) {
    std::fprintf(stderr, "reedchute_wirehost: line %ld: %s\n", number, e.what());
    return 1;
  }
  return 0;
}

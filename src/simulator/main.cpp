// reedchute_wirehost: serves the simulator's line protocol on standard input and output.
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>

#include "simulator/adapter.h"

namespace {

// Keeps `lineNumber` at the number of the line read last, for error messages.
void serve(long& lineNumber) {
  std::ios::sync_with_stdio(false);
  reedchute::simulator::Adapter adapter;
  std::string text;
  std::string reply;
  while (std::getline(std::cin, text)) {
    ++lineNumber;
    if (!adapter.onLine(text, reply)) continue;
    std::cout << reply;
    std::cout.flush();
  }
  if (adapter.isInsideBatch()) throw reedchute::InvalidInput("the input ended inside a batch");
}

}  // namespace

int main() {
  long lineNumber = 0;
  try {
    serve(lineNumber);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "reedchute_wirehost: line %ld: %s\n", lineNumber, error.what());
    return 1;
  }
  return 0;
}

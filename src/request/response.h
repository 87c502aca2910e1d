// A store's response to an attempt.
#pragma once

#include <string>

namespace reedchute::request {

struct Response {
  std::string bytes;         // as received from the store
  unsigned frameHeader = 0;  // protocol-specific: frame flags and opcode
};

}  // namespace reedchute::request

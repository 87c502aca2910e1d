// What a store responded.
#pragma once

#include <string>

namespace reedchute::request {

struct Response {
  std::string bytes;         // as the store sent them
  unsigned frameHeader = 0;  // protocol specific: frame flags and opcode
};

}  // namespace reedchute::request

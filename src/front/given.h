// What the front is told when it starts.
#pragma once

#include <cstdint>
#include <string>

#include "peers/list.h"
#include "rules.h"
#include "terms/terms.h"

namespace reedchute::front {

struct Given {
  std::string name;
  sockaddr_in listen{}, discovery{};
  std::string discoveryHost;
  std::size_t sockets = 0;
  peers::Roster known;
  Names names;
  Terms terms;
  Span keepalive;
};

// Reads the file at `path`; throws Malformed with one plain line where it is missing or makes no sense.
Given readGiven(const char* path);
Given givenFrom(const std::string& text);

}  // namespace reedchute::front

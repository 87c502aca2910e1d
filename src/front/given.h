// What the front is told when it starts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "peers/list.h"
#include "rules.h"
#include "terms/terms.h"

namespace reedchute::front {

struct Given {
  std::string path;  // of the file
  std::string name;
  sockaddr_in listen{}, discovery{};
  std::string discoveryHost;
  std::size_t sockets = 0;
  std::size_t memory = 0;  // bytes
  peers::Roster known;
  Params settings;
  Names names;
  Terms terms;
  Span keepalive;
};

// Reads the file at `path`; throws Malformed with one plain line where it is missing or makes no sense.
Given readGiven(const char* path);
Given givenFrom(const std::string& text);

// The fields in which they differ and which only a restart takes up.
std::vector<const char*> changedForRestart(const Given& a, const Given& b);

}  // namespace reedchute::front

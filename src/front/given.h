// What the front is told when it starts.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "doors/cql/chart.h"
#include "doors/cql/given.h"
#include "ledger/feed.h"
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
  // From our own settings, where there are any.
  std::optional<doors::cql::Given> cassandra;
  std::optional<doors::cql::Chart> chart;
  std::optional<ledger::FeedGiven> ledger;
};

// Reads the file at `path`; throws Malformed with one plain line where it is missing or makes no sense, and
// std::system_error where it can't be read at this moment.
Given readGiven(const char* path);
Given givenFrom(const std::string& text);

// Adds what our own settings say, from a file in HCL; throws Malformed with file and line.
void addSettings(Given& given, const std::string& path);

// The fields in which they differ and which only a restart takes up.
std::vector<const char*> changedForRestart(const Given& a, const Given& b);

}  // namespace reedchute::front

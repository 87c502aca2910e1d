// The endpoint list as the discovery service words it, and its parser. No I/O.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "codec/json/json.h"
#include "decision/engine.h"

namespace reedchute::discovery {

// One store.
struct Endpoint {
  std::string id, zone;
  sockaddr_in address{};
  // Where the store is spoken to in other protocols, by the protocol's name.
  std::vector<std::pair<std::string, sockaddr_in>> otherAddresses;
  std::int64_t group = 0;
  EndpointStatus status = EndpointStatus::up;
  bool isPrimary = false;
  double weight = 1;
  std::int64_t startedMs = 0;  // Unix time; 0: not given
};

// The whole list, or the changes since an earlier version.
struct EndpointList {
  std::int64_t version = 0;
  bool isFull = false;
  std::vector<Endpoint> endpoints;
};

enum class EndpointListError {
  notAList,
  noId,
  noState,
  unknownState,
  noAddress,
  malformedAddress,
  noGroup,
  duplicateId,
};

// The error as log lines word it.
const char* describe(EndpointListError error);

// A list of which any part can't be read is refused as a whole.
std::variant<EndpointList, EndpointListError> parseEndpointList(const json::Value& document);

}  // namespace reedchute::discovery

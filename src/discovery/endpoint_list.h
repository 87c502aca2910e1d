// The endpoint list as the discovery service sends it, and its parser. No I/O.
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

// An entry of the list: one store.
struct Endpoint {
  std::string id, zone;
  sockaddr_in address{};
  // The store's addresses for other protocols, by the name of the protocol.
  std::vector<std::pair<std::string, sockaddr_in>> otherAddresses;
  std::int64_t group = 0;
  EndpointStatus status = EndpointStatus::up;
  bool isPrimary = false;
  double weight = 1;
  std::int64_t startedMs = 0;  // Unix time in milliseconds; 0: not given
};

// The full list, or the changes since an earlier version.
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

// The text of the error for logs and error messages.
const char* describe(EndpointListError error);

// Parses the JSON document of a list. If any part of it is invalid, the whole list is rejected.
std::variant<EndpointList, EndpointListError> parseEndpointList(const json::Value& document);

}  // namespace reedchute::discovery

#include "discovery/endpoint_list.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string_view>

#include "runtime/socket.h"

namespace reedchute::discovery {
namespace {

constexpr double kMaxVersion = 1e15;
constexpr double kMaxStartMs = 1e15;  // Unix time in milliseconds

const std::string* findString(const json::Value& entry, const char* name) {
  const json::Value* field = entry.find(name);
  return field && field->isString() ? &field->text : nullptr;
}

std::optional<double> findNumber(const json::Value& entry, const char* name) {
  const json::Value* field = entry.find(name);
  if (!field || !field->isNumber()) return std::nullopt;
  return field->number;
}

std::optional<EndpointStatus> parseStatus(std::string_view state) {
  if (state == "up") return EndpointStatus::up;
  if (state == "draining") return EndpointStatus::draining;
  if (state == "removed") return EndpointStatus::gone;
  return std::nullopt;
}

using ParseResult = std::optional<EndpointListError>;

ParseResult parseStatus(const json::Value& entry, Endpoint& endpoint) {
  const std::string* state = findString(entry, "state");
  if (!state) return EndpointListError::noState;
  std::optional<EndpointStatus> status = parseStatus(*state);
  if (!status) return EndpointListError::unknownState;
  endpoint.status = *status;
  return std::nullopt;
}

ParseResult parseAddresses(const json::Value& entry, Endpoint& endpoint) {
  const std::string* text = findString(entry, "addr");
  if (!text) return EndpointListError::noAddress;
  std::optional<sockaddr_in> address = runtime::parseAddress(*text);
  if (!address) return EndpointListError::malformedAddress;
  endpoint.address = *address;
  // Optional: the platform itself lists no addresses for other protocols.
  const json::Value* otherAddresses = entry.find("addrs");
  if (!otherAddresses) return std::nullopt;
  for (const auto& [protocol, value] : otherAddresses->members) {
    std::optional<sockaddr_in> other = runtime::parseAddress(value.text);
    if (!other) return EndpointListError::malformedAddress;
    endpoint.otherAddresses.emplace_back(protocol, *other);
  }
  return std::nullopt;
}

ParseResult parseGroup(const json::Value& entry, Endpoint& endpoint) {
  std::optional<double> group = findNumber(entry, "cell");
  if (!group || *group < INT32_MIN || *group > INT32_MAX) return EndpointListError::noGroup;
  endpoint.group = static_cast<std::int64_t>(*group);
  return std::nullopt;
}

void parseOptionalFields(const json::Value& entry, Endpoint& endpoint) {
  if (const std::string* zone = findString(entry, "zone")) endpoint.zone = *zone;
  if (std::optional<double> weight = findNumber(entry, "weight")) endpoint.weight = *weight;
  std::optional<double> startedMs = findNumber(entry, "started_ms");
  if (startedMs && *startedMs > 0 && *startedMs < kMaxStartMs)
    endpoint.startedMs = static_cast<std::int64_t>(*startedMs);
  if (const std::string* access = findString(entry, "access"))
    endpoint.isPrimary = *access == "writer";
}

ParseResult parseEndpoint(const json::Value& entry, Endpoint& endpoint) {
  const std::string* id = findString(entry, "id");
  if (!id || id->empty()) return EndpointListError::noId;
  endpoint.id = *id;
  if (ParseResult error = parseStatus(entry, endpoint)) return error;
  if (ParseResult error = parseAddresses(entry, endpoint)) return error;
  if (ParseResult error = parseGroup(entry, endpoint)) return error;
  parseOptionalFields(entry, endpoint);
  return std::nullopt;
}

}  // namespace

const char* describe(EndpointListError error) {
  switch (error) {
    case EndpointListError::notAList:
      return "no list with version, full and servers";
    case EndpointListError::noId:
      return "an entry without an id";
    case EndpointListError::noState:
      return "an entry without a state";
    case EndpointListError::unknownState:
      return "an entry in an unknown state";
    case EndpointListError::noAddress:
      return "an entry without an address";
    case EndpointListError::malformedAddress:
      return "an address that can't be read";
    case EndpointListError::noGroup:
      return "an entry without a group";
    case EndpointListError::duplicateId:
      return "an id that stands twice";
  }
  return "";
}

std::variant<EndpointList, EndpointListError> parseEndpointList(const json::Value& document) {
  const json::Value* version = document.find("version");
  const json::Value* full = document.find("full");
  const json::Value* servers = document.find("servers");
  bool hasVersion = version && version->isNumber();
  bool hasFull = full && full->kind == json::Value::Kind::boolean;
  bool hasServers = servers && servers->kind == json::Value::Kind::array;
  if (!hasVersion || !hasFull || !hasServers) return EndpointListError::notAList;
  EndpointList list;
  list.version = static_cast<std::int64_t>(std::clamp(version->number, -kMaxVersion, kMaxVersion));
  list.isFull = full->boolean;
  std::set<std::string> ids;
  for (const json::Value& entry : servers->items) {
    Endpoint endpoint;
    if (ParseResult error = parseEndpoint(entry, endpoint)) return *error;
    bool isNew = ids.insert(endpoint.id).second;
    if (!isNew && list.isFull) return EndpointListError::duplicateId;
    list.endpoints.push_back(std::move(endpoint));
  }
  return list;
}

}  // namespace reedchute::discovery

#include "protocols/cassandra/settings.h"

#include <algorithm>

#include "codec/cql/request.h"
#include "request/limits.h"
#include "runtime/socket.h"

namespace reedchute::protocols::cassandra {
namespace {

namespace cql = reedchute::cql;
using config::Section;

constexpr std::int64_t kDefaultTimeoutMs = 5000;
constexpr std::int64_t kMaxConnections = 65'536;
constexpr std::int64_t kDefaultConnections = 64;
constexpr std::int64_t kMaxStreams = 32'768;  // stream ids 0 to 32767 of the protocol
constexpr std::int64_t kDefaultStreams = 1024;
constexpr std::int64_t kDefaultStoreStreams = 128;
constexpr std::int64_t kMinMessageKb = 16;
constexpr std::int64_t kMaxMessageKb = 65'536;
constexpr std::int64_t kDefaultMessageKb = 256;
constexpr std::int64_t kBytesPerKb = 1024;
constexpr std::int64_t kMaxBatchStatements = 65'535;
constexpr std::int64_t kDefaultBatchStatements = 1000;
constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kDefaultStorePort = 9042;
constexpr int kVersion4 = 4;
constexpr int kVersion5 = 5;

// Whether port 0 (any free port) is accepted.
enum class PortZero { allowed, refused };

sockaddr_in parseAddress(Section& section, std::string_view name, PortZero portZero) {
  auto address = runtime::parseAddress(section.text(name), portZero == PortZero::allowed);
  if (!address) section.fail(name, "must be an IPv4 address with a port");
  return *address;
}

std::size_t parseSize(Section& section, std::string_view name, std::int64_t max,
                      std::int64_t defaultValue) {
  return static_cast<std::size_t>(section.number(name, 1, max, defaultValue));
}

Duration milliseconds(std::int64_t count) {
  return Duration{count * 1000};
}

cql::Kind parseKind(Section& section, const std::string& word) {
  for (int index = 0; index <= static_cast<int>(cql::Kind::schema); ++index) {
    auto kind = static_cast<cql::Kind>(index);
    if (word == nameOf(kind)) return kind;
  }
  section.fail("kinds", "must hold read, write, batch, conditional, counter or schema and holds '" +
                            word + "'");
}

std::uint16_t parseConsistency(Section& section, const std::string& word) {
  for (std::uint16_t level = 0; *cql::consistencyName(level) != '?'; ++level)
    if (word == cql::consistencyName(level)) return level;
  section.fail("consistencies", "holds '" + word + "', which is no consistency level");
}

Mapping parseMapping(Section section) {
  Mapping mapping;
  mapping.keyspace = section.text("keyspace", "");
  mapping.table = section.text("table", "");
  for (const std::string& word : section.texts("kinds"))
    mapping.kinds.push_back(parseKind(section, word));
  for (const std::string& word : section.texts("consistencies"))
    mapping.consistencies.push_back(parseConsistency(section, word));
  mapping.line = section.line();
  mapping.workload = section.text("workload");
  mapping.group = section.number("group", INT32_MIN, INT32_MAX);
  if (section.has("timeout_ms"))
    mapping.timeout = milliseconds(section.number("timeout_ms", 1, request::kMaxTimeoutMs));
  section.requireAllRead();
  return mapping;
}

Peer parsePeer(Section section, const Config& config) {
  Peer peer;
  peer.address = parseAddress(section, "address", PortZero::refused);
  peer.datacenter = section.text("datacenter", config.datacenter);
  peer.rack = section.text("rack", config.rack);
  section.requireAllRead();
  return peer;
}

// Returns whether version 5 is supported. Version 4 is mandatory. Without `versions`, both are.
bool parseVersions(Section& section) {
  std::vector<std::int64_t> versions = section.numbers("versions");
  auto includes = [&](int version) {
    return versions.empty() ||
           std::find(versions.begin(), versions.end(), version) != versions.end();
  };
  for (std::int64_t version : versions)
    if (version < cql::kLowestVersion || version > cql::kHighestVersion)
      section.fail("versions", "may hold 4 and 5 only");
  if (!includes(kVersion4)) section.fail("versions", "must hold 4");
  return includes(kVersion5);
}

void parseIdentity(Section& section, Config& config) {
  config.listen = parseAddress(section, "listen", PortZero::allowed);
  config.cluster = section.text("cluster", config.cluster);
  config.datacenter = section.text("datacenter", config.datacenter);
  config.rack = section.text("rack", config.rack);
}

void parseCredentials(Section& section, Config& config) {
  config.user = section.text("user", "");
  config.password = section.text("password", "");
  if (config.user.empty() != config.password.empty())
    section.fail("user", "and 'password' go together");
}

void parseLimits(Section& section, Config& config) {
  config.connections = parseSize(section, "connections", kMaxConnections, kDefaultConnections);
  config.streams = parseSize(section, "streams", kMaxStreams, kDefaultStreams);
  std::int64_t messageKb = section.number("message_kb", kMinMessageKb, kMaxMessageKb,
                                          kDefaultMessageKb);
  config.maxMessageBytes = static_cast<std::size_t>(messageKb * kBytesPerKb);
  config.maxBatchStatements = parseSize(section, "batch_statements", kMaxBatchStatements,
                                        kDefaultBatchStatements);
  config.timeout =
      milliseconds(section.number("timeout_ms", 1, request::kMaxTimeoutMs, kDefaultTimeoutMs));
}

void parseStore(Section section, Config& config) {
  config.storePort =
      static_cast<std::uint16_t>(section.number("port", 1, kMaxPort, kDefaultStorePort));
  config.storeUser = section.text("user", "");
  config.storePassword = section.text("password", "");
  config.storeStreams = parseSize(section, "streams", kMaxStreams, kDefaultStoreStreams);
  std::string compression = section.text("compression", "none");
  if (compression != "none" && compression != "lz4")
    section.fail("compression", "must be none or lz4");
  config.storeCompression = compression == "lz4";
  section.requireAllRead();
}

}  // namespace

Config parseConfig(Section section) {
  Config config;
  parseIdentity(section, config);
  config.v5 = parseVersions(section);
  parseCredentials(section, config);
  parseLimits(section, config);
  config.storesDeduplicateRetries = section.boolean("stores_drop_marks", false);
  config.probes = section.boolean("probes", false);
  for (Section& store : section.blocks("store")) parseStore(std::move(store), config);
  for (Section& peer : section.blocks("peer"))
    config.peers.push_back(parsePeer(std::move(peer), config));
  for (Section& mapping : section.blocks("map"))
    config.mappings.push_back(parseMapping(std::move(mapping)));
  section.requireAllRead();
  return config;
}

}  // namespace reedchute::protocols::cassandra

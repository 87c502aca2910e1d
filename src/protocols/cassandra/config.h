// The settings of the Cassandra protocol, fixed from the start of the process on.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "codec/cql/text.h"

namespace reedchute::protocols::cassandra {

// Gives statements of a table a workload and a group. A statement without a custom payload belongs
// to the first mapping that it matches.
struct Mapping {
  std::string keyspace, table;               // empty: any
  std::vector<reedchute::cql::Kind> kinds;   // none: any
  std::vector<std::uint16_t> consistencies;  // none: any
  std::string workload;
  std::int64_t group = 0;
  int line = 0;                     // in the settings file
  std::optional<Duration> timeout;  // none: Config::timeout
};

// Another proxy, as clients are shown it in the system tables.
struct Peer {
  sockaddr_in address{};
  std::string datacenter, rack;
};

struct Config {
  sockaddr_in listen{};
  std::string cluster = "reedchute", datacenter = "dc1", rack = "rack1";
  bool v5 = true;
  std::string user, password;         // that clients must give; empty: none needed
  std::size_t connections = 64;       // of clients, at most
  std::size_t streams = 1024;         // outstanding requests on one connection, at most
  std::size_t mostBody = 256 * 1024;  // bytes of one message, at most
  std::size_t batchMost = 1000;       // statements in one batch, at most
  Duration timeout;                   // of a statement that names none itself
  bool storesDropMarks = false;       // whether stores drop a retry by its idempotency key
  // Connections to the stores.
  std::uint16_t storePort = 9042;  // where the endpoint list has no own one
  std::string storeUser, storePassword;
  std::size_t storeStreams = 128;  // outstanding requests on one connection, at most
  bool storeCompression = false;
  bool probes = false;  // probes use this protocol instead of PostgreSQL's
  std::vector<Peer> peers;
  std::vector<Mapping> mappings;
};

}  // namespace reedchute::protocols::cassandra

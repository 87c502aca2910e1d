// The settings of the Cassandra protocol. Read at process start and not reloaded.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "codec/cql/text.h"

namespace reedchute::protocols::cassandra {

// Assigns statements on a table to a workload and a replication group. The first matching mapping
// applies; values in a statement's custom payload take precedence.
struct Mapping {
  std::string keyspace, table;               // empty: any
  std::vector<reedchute::cql::Kind> kinds;   // none: any
  std::vector<std::uint16_t> consistencies;  // none: any
  std::string workload;
  std::int64_t group = 0;
  int line = 0;                     // in the settings file
  std::optional<Duration> timeout;  // none: Config::timeout
};

// Another proxy, as listed for clients in the system tables.
struct Peer {
  sockaddr_in address{};
  std::string datacenter, rack;
};

struct Config {
  sockaddr_in listen{};
  std::string cluster = "reedchute", datacenter = "dc1", rack = "rack1";
  bool v5 = true;
  std::string user, password;    // required from clients; empty: no authentication
  std::size_t connections = 64;  // maximum number of client connections
  std::size_t streams = 1024;    // maximum number of outstanding requests on a connection
  std::size_t maxMessageBytes = 256 * 1024;  // largest body of a client message, in bytes
  std::size_t maxBatchStatements = 1000;     // maximum number of statements in a batch
  Duration timeout;                          // of a statement without a timeout of its own
  bool storesDeduplicateRetries = false;     // whether stores drop retries by their idempotency key
  // Connections to the stores.
  std::uint16_t storePort = 9042;  // for stores without a Cassandra address in the endpoint list
  std::string storeUser, storePassword;
  std::size_t storeStreams = 128;  // maximum number of outstanding requests on a connection
  bool storeCompression = false;   // lz4
  bool probes = false;             // probes use this protocol instead of PostgreSQL's
  std::vector<Peer> peers;
  std::vector<Mapping> mappings;
};

}  // namespace reedchute::protocols::cassandra

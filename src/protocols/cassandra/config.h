// What the Cassandra door is told when it starts.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "codec/cql/text.h"

namespace reedchute::protocols::cassandra {

// Statements that say nothing of themselves in a custom payload belong to the first of these that
// they match.
struct Mapping {
  std::string keyspace, table;               // empty: any
  std::vector<reedchute::cql::Kind> kinds;   // none: any
  std::vector<std::uint16_t> consistencies;  // none: any
  std::string workload;
  std::int64_t group = 0;
  int line = 0;                     // where it stands in the settings
  std::optional<Duration> timeout;  // otherwise the door's
};

// Another front as clients are shown it.
struct Peer {
  sockaddr_in address{};
  std::string datacenter, rack;
};

struct Config {
  sockaddr_in listen{};
  std::string cluster = "reedchute", datacenter = "dc1", rack = "rack1";
  bool v5 = true;
  std::string user, password;         // that clients must give; empty: none
  std::size_t connections = 64;       // of clients
  std::size_t streams = 1024;         // open on one of them
  std::size_t mostBody = 256 * 1024;  // bytes of one message
  std::size_t batchMost = 1000;       // statements in one
  Duration timeout;                   // of a statement that names none
  bool storesDropMarks = false;       // do stores drop a repeat by its mark?
  // towards the stores
  std::uint16_t storePort = 9042;  // where the list names no address of its own for this protocol
  std::string storeUser, storePassword;
  std::size_t storeStreams = 128;  // jobs on one connection
  bool storeCompression = false;
  bool probes = false;  // probes go in this protocol, not in PostgreSQL's
  std::vector<Peer> peers;
  std::vector<Mapping> mappings;
};

}  // namespace reedchute::protocols::cassandra

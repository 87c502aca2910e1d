#include "protocols/cassandra/system_tables.h"

#include <arpa/inet.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "codec/cql/reply.h"

namespace reedchute::protocols::cassandra {
namespace {

using cql::Column;
using cql::Type;
using Cell = std::optional<std::string>;
using Row = std::vector<Cell>;

constexpr const char* kCassandraRelease = "4.0.0";
constexpr const char* kPartitioner = "org.apache.cassandra.dht.Murmur3Partitioner";

// The positions of a UUID's version and variant (RFC 4122).
constexpr std::size_t kUuidVersionByte = 6;
constexpr std::size_t kUuidVariantByte = 8;
constexpr std::size_t kUuidBytes = 16;

struct Table {
  std::vector<Column> columns;
  std::vector<Row> rows;
};

enum class PeersVersion { peers, peersV2 };

std::string addressCell(const sockaddr_in& address) {
  return {reinterpret_cast<const char*>(&address.sin_addr.s_addr), sizeof address.sin_addr.s_addr};
}

std::string intCell(std::int32_t value) {
  std::string cell;
  cql::addInt(cell, value);
  return cell;
}

std::string portCell(const sockaddr_in& address) {
  return intCell(ntohs(address.sin_port));
}

// Derived from the address, so that all proxies report the same id for a host.
std::string hostId(const sockaddr_in& address) {
  std::string id = "reedchute-";
  id += addressCell(address);
  cql::addShort(id, ntohs(address.sin_port));
  id[kUuidVersionByte] = static_cast<char>((id[kUuidVersionByte] & 0x0f) | 0x40);
  id[kUuidVariantByte] = static_cast<char>((id[kUuidVariantByte] & 0x3f) | 0x80);
  return id;
}

std::string schemaVersion() {
  std::string version(kUuidBytes, '\x11');
  version[kUuidVersionByte] = '\x41';
  version[kUuidVariantByte] = '\x81';
  return version;
}

// Each host has a different token; otherwise a token-aware driver would send all requests to one
// host.
std::string tokensCell(std::size_t hostIndex, std::size_t hostCount) {
  std::int64_t step = INT64_MAX / static_cast<std::int64_t>(hostCount) * 2;
  std::int64_t token = INT64_MIN + 1 + step * static_cast<std::int64_t>(hostIndex);
  return cql::textSet({std::to_string(token)});
}

// The columns of a table of system_schema; null if there is no such table.
const std::vector<Column>* schemaColumns(std::string_view table) {
  static const std::vector<Column> kKeyspaces = {
      {"keyspace_name"}, {"durable_writes", Type::boolean}, {"replication", Type::mapOfText}};
  static const std::vector<Column> kTables = {
      {"keyspace_name"}, {"table_name"}, {"id", Type::uuid}, {"comment"}};
  static const std::vector<Column> kColumns = {
      {"keyspace_name"},           {"table_name"}, {"column_name"}, {"clustering_order"}, {"kind"},
      {"position", Type::integer}, {"type"}};
  static const std::vector<Column> kTypes = {{"keyspace_name"}, {"type_name"}};
  static const std::vector<Column> kFunctions = {{"keyspace_name"}, {"function_name"}};
  static const std::vector<Column> kAggregates = {{"keyspace_name"}, {"aggregate_name"}};
  static const std::vector<Column> kTriggers = {
      {"keyspace_name"}, {"table_name"}, {"trigger_name"}};
  static const std::vector<Column> kIndexes = {
      {"keyspace_name"}, {"table_name"}, {"index_name"}, {"kind"}};
  static const std::vector<Column> kViews = {{"keyspace_name"}, {"view_name"}, {"base_table_name"}};
  if (table == "keyspaces") return &kKeyspaces;
  if (table == "tables") return &kTables;
  if (table == "columns") return &kColumns;
  if (table == "types") return &kTypes;
  if (table == "functions") return &kFunctions;
  if (table == "aggregates") return &kAggregates;
  if (table == "triggers") return &kTriggers;
  if (table == "indexes") return &kIndexes;
  if (table == "views") return &kViews;
  return nullptr;
}

Cell textMap(const std::vector<std::pair<std::string, std::string>>& pairs) {
  std::string cell = intCell(static_cast<std::int32_t>(pairs.size()));
  for (const auto& [name, value] : pairs) {
    cql::addBytes(cell, name);
    cql::addBytes(cell, value);
  }
  return cell;
}

std::set<std::string> keyspacesOf(const Config& config) {
  std::set<std::string> names;
  for (const Mapping& mapping : config.mappings)
    if (!mapping.keyspace.empty()) names.insert(mapping.keyspace);
  return names;
}

std::vector<Column> localColumns() {
  return {{"key"},
          {"bootstrapped"},
          {"broadcast_address", Type::inet},
          {"broadcast_port", Type::integer},
          {"cluster_name"},
          {"cql_version"},
          {"data_center"},
          {"gossip_generation", Type::integer},
          {"host_id", Type::uuid},
          {"listen_address", Type::inet},
          {"listen_port", Type::integer},
          {"native_protocol_version"},
          {"partitioner"},
          {"rack"},
          {"release_version"},
          {"rpc_address", Type::inet},
          {"rpc_port", Type::integer},
          {"schema_version", Type::uuid},
          {"tokens", Type::setOfText}};
}

Table localTable(const Config& config) {
  std::size_t hostCount = config.peers.size() + 1;
  std::string address = addressCell(config.listen);
  std::string port = portCell(config.listen);
  Row row = {"local",
             "COMPLETED",
             address,
             port,
             config.cluster,
             kCqlVersion,
             config.datacenter,
             intCell(1),  // gossip_generation
             hostId(config.listen),
             address,
             port,
             config.v5 ? "5" : "4",
             kPartitioner,
             config.rack,
             kCassandraRelease,
             address,
             port,
             schemaVersion(),
             tokensCell(0, hostCount)};
  return {.columns = localColumns(), .rows = {std::move(row)}};
}

std::vector<Column> peersColumns(PeersVersion version) {
  if (version == PeersVersion::peersV2)
    return {{"peer", Type::inet},
            {"peer_port", Type::integer},
            {"data_center"},
            {"host_id", Type::uuid},
            {"preferred_ip", Type::inet},
            {"rack"},
            {"release_version"},
            {"native_address", Type::inet},
            {"native_port", Type::integer},
            {"schema_version", Type::uuid},
            {"tokens", Type::setOfText}};
  return {{"peer", Type::inet},
          {"data_center"},
          {"host_id", Type::uuid},
          {"preferred_ip", Type::inet},
          {"rack"},
          {"release_version"},
          {"rpc_address", Type::inet},
          {"schema_version", Type::uuid},
          {"tokens", Type::setOfText}};
}

Row peerRow(const Peer& peer, PeersVersion version, std::string tokens) {
  std::string address = addressCell(peer.address);
  std::string port = portCell(peer.address);
  Cell preferredIp = std::nullopt;
  if (version == PeersVersion::peersV2)
    return {address,
            port,
            peer.datacenter,
            hostId(peer.address),
            preferredIp,
            peer.rack,
            kCassandraRelease,
            address,
            port,
            schemaVersion(),
            std::move(tokens)};
  return {address,           peer.datacenter, hostId(peer.address), preferredIp,      peer.rack,
          kCassandraRelease, address,         schemaVersion(),      std::move(tokens)};
}

Table peersTable(const Config& config, PeersVersion version) {
  Table table{.columns = peersColumns(version), .rows = {}};
  std::size_t hostCount = config.peers.size() + 1;
  for (std::size_t k = 0; k < config.peers.size(); ++k)
    table.rows.push_back(peerRow(config.peers[k], version, tokensCell(k + 1, hostCount)));
  return table;
}

// All tables of system_schema except `keyspaces` are empty.
Table schemaTable(const Config& config, std::string_view name, const std::vector<Column>& columns) {
  Table table{.columns = columns, .rows = {}};
  if (name != "keyspaces") return table;
  const std::string durableWrites(1, '\1');
  for (const std::string& keyspace : keyspacesOf(config))
    table.rows.push_back({keyspace, durableWrites,
                          textMap({{"class", "org.apache.cassandra.locator.SimpleStrategy"},
                                   {"replication_factor", "1"}})});
  return table;
}

std::optional<Table> findTable(const Config& config, const cql::ParsedText& read) {
  if (read.keyspace == "system_schema") {
    const std::vector<Column>* columns = schemaColumns(read.table);
    if (!columns) return std::nullopt;
    return schemaTable(config, read.table, *columns);
  }
  if (read.keyspace != "system") return std::nullopt;
  if (read.table == "local") return localTable(config);
  if (read.table == "peers") return peersTable(config, PeersVersion::peers);
  if (read.table == "peers_v2") return peersTable(config, PeersVersion::peersV2);
  return std::nullopt;
}

// Returns the named columns in the given order, or nothing if the table lacks one of them.
std::optional<Table> selectColumns(const Table& table, const std::vector<std::string>& names) {
  Table selection{.columns = {}, .rows = std::vector<Row>(table.rows.size())};
  for (const std::string& name : names) {
    auto column = std::find_if(table.columns.begin(), table.columns.end(),
                               [&](const Column& candidate) { return candidate.name == name; });
    if (column == table.columns.end()) return std::nullopt;
    selection.columns.push_back(*column);
    auto index = static_cast<std::size_t>(column - table.columns.begin());
    for (std::size_t k = 0; k < table.rows.size(); ++k)
      selection.rows[k].push_back(table.rows[k][index]);
  }
  return selection;
}

}  // namespace

bool SystemTables::knowsKeyspace(std::string_view keyspace) const {
  if (cql::isSystemKeyspace(keyspace)) return true;
  return std::any_of(config_.mappings.begin(), config_.mappings.end(), [&](const Mapping& mapping) {
    return mapping.keyspace.empty() || mapping.keyspace == keyspace;
  });
}

std::optional<std::string> SystemTables::resultBody(const cql::ParsedText& read,
                                                    std::string_view text,
                                                    std::string_view& error) const {
  error = "system tables only support SELECT";
  if (read.kind != cql::Kind::read) return std::nullopt;
  std::optional<Table> table = findTable(config_, read);
  if (!table) {
    error = "unknown system table";
    return std::nullopt;
  }
  error = "a SELECT from a system table only supports column names or *";
  std::vector<std::string> names;
  if (!cql::readSelection(text, names)) return std::nullopt;
  if (names.empty()) return cql::rowsBody(read.keyspace, read.table, table->columns, table->rows);
  error = "unknown column in a SELECT from a system table";
  std::optional<Table> selection = selectColumns(*table, names);
  if (!selection) return std::nullopt;
  return cql::rowsBody(read.keyspace, read.table, selection->columns, selection->rows);
}

}  // namespace reedchute::protocols::cassandra

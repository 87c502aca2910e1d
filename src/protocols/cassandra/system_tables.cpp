#include "protocols/cassandra/system_tables.h"

#include <arpa/inet.h>

#include <algorithm>
#include <set>
#include <vector>

#include "codec/cql/reply.h"

namespace reedchute::protocols::cassandra {
namespace {

using reedchute::cql::Column;
using reedchute::cql::Type;
using Cell = std::optional<std::string>;
using Row = std::vector<Cell>;

constexpr const char *kRelease = "4.0.0",
                     *kPartitioner = "org.apache.cassandra.dht.Murmur3Partitioner";

std::string addressCell(const sockaddr_in& a) {
  return {reinterpret_cast<const char*>(&a.sin_addr.s_addr), sizeof a.sin_addr.s_addr};
}

std::string intCell(std::int32_t v) {
  std::string cell;
  reedchute::cql::addInt(cell, v);
  return cell;
}

// A host's id follows from its address, so that all fronts tell the same.
std::string hostId(const sockaddr_in& a) {
  std::string id = "reedchute-";
  id += addressCell(a);
  reedchute::cql::addShort(id, ntohs(a.sin_port));
  id[6] = static_cast<char>((id[6] & 0x0f) | 0x40);
  id[8] = static_cast<char>((id[8] & 0x3f) | 0x80);
  return id;
}

// Each host owns another token, or a token-aware driver would send everything to one of them.
std::string tokenOf(std::size_t place, std::size_t hosts) {
  std::int64_t step = INT64_MAX / static_cast<std::int64_t>(hosts) * 2;
  return std::to_string(INT64_MIN + 1 + step * static_cast<std::int64_t>(place));
}

struct Table {
  std::vector<Column> columns;
  std::vector<Row> rows;
};

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
  for (const auto& [name, value] : pairs)
    reedchute::cql::addBytes(cell, name), reedchute::cql::addBytes(cell, value);
  return cell;
}

std::set<std::string> keyspacesOf(const Config& g) {
  std::set<std::string> names;
  for (const Mapping& m : g.mappings)
    if (!m.keyspace.empty()) names.insert(m.keyspace);
  return names;
}

Table local(const Config& g) {
  std::size_t hosts = g.peers.size() + 1;
  std::string address = addressCell(g.listen);
  Table t;
  t.columns = {{"key"},
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
  std::string port = intCell(ntohs(g.listen.sin_port));
  std::string schema(16, '\x11');
  schema[6] = '\x41', schema[8] = '\x81';
  t.rows = {{"local", "COMPLETED", address, port, g.cluster, "3.4.5", g.datacenter, intCell(1),
             hostId(g.listen), address, port, g.v5 ? "5" : "4", kPartitioner, g.rack, kRelease,
             address, port, schema, reedchute::cql::textSet({tokenOf(0, hosts)})}};
  return t;
}

Table peers(const Config& g, bool second) {
  Table t;
  t.columns = {{"peer", Type::inet}};
  if (second) t.columns.push_back({"peer_port", Type::integer});
  t.columns.insert(t.columns.end(), {{"data_center"},
                                     {"host_id", Type::uuid},
                                     {"preferred_ip", Type::inet},
                                     {"rack"},
                                     {"release_version"}});
  if (second)
    t.columns.insert(t.columns.end(),
                     {{"native_address", Type::inet}, {"native_port", Type::integer}});
  else
    t.columns.push_back({"rpc_address", Type::inet});
  t.columns.insert(t.columns.end(), {{"schema_version", Type::uuid}, {"tokens", Type::setOfText}});
  std::string schema = *local(g).rows[0][17];
  for (std::size_t k = 0; k < g.peers.size(); ++k) {
    const Peer& p = g.peers[k];
    std::string address = addressCell(p.address), port = intCell(ntohs(p.address.sin_port));
    Row row = {address};
    if (second) row.push_back(port);
    row.insert(row.end(), {p.datacenter, hostId(p.address), std::nullopt, p.rack,
                           std::string(kRelease), address});
    if (second) row.push_back(port);
    row.insert(row.end(), {schema, reedchute::cql::textSet({tokenOf(k + 1, g.peers.size() + 1)})});
    t.rows.push_back(std::move(row));
  }
  return t;
}

Table schema(const Config& g, std::string_view name, const std::vector<Column>& columns) {
  Table t;
  t.columns = columns;
  if (name != "keyspaces") return t;
  for (const std::string& k : keyspacesOf(g))
    t.rows.push_back({k, std::string(1, '\1'),
                      textMap({{"class", "org.apache.cassandra.locator.SimpleStrategy"},
                               {"replication_factor", "1"}})});
  return t;
}

}  // namespace

bool SystemTables::knowsKeyspace(std::string_view keyspace) const {
  if (reedchute::cql::systemKeyspace(keyspace)) return true;
  return std::any_of(config_.mappings.begin(), config_.mappings.end(), [&](const Mapping& m) {
    return m.keyspace.empty() || m.keyspace == keyspace;
  });
}

std::optional<std::string> SystemTables::answer(const reedchute::cql::TextRead& read,
                                                std::string_view text,
                                                std::string_view& why) const {
  why = "only reads of the front's system tables";
  if (read.kind != reedchute::cql::Kind::read) return std::nullopt;
  Table t;
  const std::vector<Column>* columns = read.keyspace == "system_schema" ? schemaColumns(read.table)
                                                                        : nullptr;
  if (columns)
    t = schema(config_, read.table, *columns);
  else if (read.keyspace == "system" && read.table == "local")
    t = local(config_);
  else if (read.keyspace == "system" && (read.table == "peers" || read.table == "peers_v2"))
    t = peers(config_, read.table == "peers_v2");
  else {
    why = "no such system table here";
    return std::nullopt;
  }
  std::vector<std::string> asked;
  why = "columns by their names, or all of them";
  if (!reedchute::cql::readSelection(text, asked)) return std::nullopt;
  if (asked.empty()) return reedchute::cql::rowsBody(read.keyspace, read.table, t.columns, t.rows);
  std::vector<Column> some;
  std::vector<Row> rows(t.rows.size());
  for (const std::string& name : asked) {
    auto it = std::find_if(t.columns.begin(), t.columns.end(),
                           [&](const Column& c) { return c.name == name; });
    why = "an unknown column";
    if (it == t.columns.end()) return std::nullopt;
    some.push_back(*it);
    for (std::size_t k = 0; k < rows.size(); ++k)
      rows[k].push_back(t.rows[k][static_cast<std::size_t>(it - t.columns.begin())]);
  }
  return reedchute::cql::rowsBody(read.keyspace, read.table, some, rows);
}

}  // namespace reedchute::protocols::cassandra

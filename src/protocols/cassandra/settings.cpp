#include "protocols/cassandra/settings.h"

#include <algorithm>
#include <array>

#include "codec/cql/request.h"
#include "runtime/socket.h"

namespace reedchute::protocols::cassandra {
namespace {

namespace cql = reedchute::cql;

sockaddr_in addressIn(config::Section& s, std::string_view name, bool zeroPort) {
  auto address = runtime::parseAddress(s.text(name), zeroPort);
  if (!address) s.fail(name, "must be an IPv4 address with a port");
  return *address;
}

cql::Kind kindNamed(config::Section& s, const std::string& word) {
  for (int k = 0; k <= static_cast<int>(cql::Kind::schema); ++k)
    if (word == nameOf(static_cast<cql::Kind>(k))) return static_cast<cql::Kind>(k);
  s.fail("kinds",
         "must hold read, write, batch, conditional, counter or schema and holds '" + word + "'");
}

std::uint16_t consistencyNamed(config::Section& s, const std::string& word) {
  for (std::uint16_t level = 0; *cql::consistencyName(level) != '?'; ++level)
    if (word == cql::consistencyName(level)) return level;
  s.fail("consistencies", "holds '" + word + "', which is no consistency level");
}

Mapping mappingFrom(config::Section s) {
  Mapping m;
  m.keyspace = s.text("keyspace", "");
  m.table = s.text("table", "");
  for (const std::string& word : s.texts("kinds")) m.kinds.push_back(kindNamed(s, word));
  for (const std::string& word : s.texts("consistencies"))
    m.consistencies.push_back(consistencyNamed(s, word));
  m.line = s.line();
  m.workload = s.text("workload");
  m.group = s.number("group", INT32_MIN, INT32_MAX);
  if (s.has("timeout_ms")) m.timeout = Duration{s.number("timeout_ms", 1, 86'400'000) * 1000};
  s.done();
  return m;
}

Peer peerFrom(config::Section s, const Config& g) {
  Peer p;
  p.address = addressIn(s, "address", false);
  p.datacenter = s.text("datacenter", g.datacenter);
  p.rack = s.text("rack", g.rack);
  s.done();
  return p;
}

}  // namespace

Config parseConfig(config::Section s) {
  Config g;
  g.listen = addressIn(s, "listen", true);
  g.cluster = s.text("cluster", g.cluster);
  g.datacenter = s.text("datacenter", g.datacenter);
  g.rack = s.text("rack", g.rack);
  std::vector<std::int64_t> versions = s.numbers("versions");
  auto speaks = [&](int v) {
    return versions.empty() || std::find(versions.begin(), versions.end(), v) != versions.end();
  };
  for (std::int64_t v : versions)
    if (v < cql::kLowest || v > cql::kHighest) s.fail("versions", "may hold 4 and 5 only");
  if (!speaks(4)) s.fail("versions", "must hold 4");
  g.v5 = speaks(5);
  g.user = s.text("user", "");
  g.password = s.text("password", "");
  if (g.user.empty() != g.password.empty()) s.fail("user", "and 'password' go together");
  g.connections = static_cast<std::size_t>(s.number("connections", 1, 65'536, 64));
  g.streams = static_cast<std::size_t>(s.number("streams", 1, 32'768, 1024));
  g.mostBody = static_cast<std::size_t>(s.number("message_kb", 16, 65'536, 256)) * 1024;
  g.batchMost = static_cast<std::size_t>(s.number("batch_statements", 1, 65'535, 1000));
  g.timeout = Duration{s.number("timeout_ms", 1, 86'400'000, 5000) * 1000};
  g.storesDropMarks = s.boolean("stores_drop_marks", false);
  g.probes = s.boolean("probes", false);
  for (config::Section store : s.blocks("store")) {
    g.storePort = static_cast<std::uint16_t>(store.number("port", 1, 65'535, 9042));
    g.storeUser = store.text("user", "");
    g.storePassword = store.text("password", "");
    g.storeStreams = static_cast<std::size_t>(store.number("streams", 1, 32'768, 128));
    std::string compression = store.text("compression", "none");
    if (compression != "none" && compression != "lz4")
      store.fail("compression", "must be none or lz4");
    g.storeCompression = compression == "lz4";
    store.done();
  }
  for (config::Section peer : s.blocks("peer")) g.peers.push_back(peerFrom(std::move(peer), g));
  for (config::Section mapping : s.blocks("map"))
    g.mappings.push_back(mappingFrom(std::move(mapping)));
  s.done();
  return g;
}

}  // namespace reedchute::protocols::cassandra

#include "config/config.h"

#include <sys/resource.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <system_error>

#include "base/parse_number.h"
#include "config/hcl_settings.h"
#include "ledger/settings.h"
#include "protocols/cassandra/settings.h"
#include "proxy/startup.h"
#include "runtime/socket.h"

namespace reedchute::proxy {
namespace {

constexpr std::size_t kLeastMemory = 16u << 20, kMostMemory = 1u << 30;

const json::Value& need(const json::Value& in, const char* name, json::Value::Kind kind) {
  const json::Value* v = in.find(name);
  if (!v || v->kind != kind)
    throw InvalidInput(std::string("the configuration has no proper '") + name + "'");
  return *v;
}

sockaddr_in addressIn(const json::Value& in, const char* name, bool zeroPort) {
  auto address = runtime::parseAddress(need(in, name, json::Value::Kind::string).text, zeroPort);
  if (!address) throw InvalidInput(std::string("the configuration's '") + name + "' is no address");
  return *address;
}

}  // namespace

Config loadConfig(const char* path) {
  if (!path || !*path) throw InvalidInput("LB_CONFIG names no file");
  std::ifstream file(path, std::ios::binary);
  if (!file && passes(std::error_code(errno, std::generic_category())))
    throw std::system_error(errno, std::generic_category(),
                            std::string("the configuration can't be opened: ") + path);
  if (!file) throw InvalidInput(std::string("the configuration can't be opened: ") + path);
  Config g = parseConfig({std::istreambuf_iterator<char>(file), {}});
  g.path = path;
  return g;
}

void addSettings(Config& g, const std::string& path) {
  config::Block file = config::readBlockFile(path);
  config::Section all(path, file);
  std::vector<config::Section> doors = all.blocks("cassandra");
  std::vector<config::Section> ledgers = all.blocks("ledger");
  all.done();
  if (ledgers.size() > 1) all.fail("ledger", "stands twice");
  if (!ledgers.empty()) g.ledger = ledger::usageRecorderConfigFrom(ledgers.front(), g.name);
  if (doors.size() > 1) all.fail("cassandra", "stands twice");
  if (doors.empty()) return;
  g.cassandra = protocols::cassandra::parseConfig(doors.front());
  for (const protocols::cassandra::Mapping& m : g.cassandra->mappings)
    if (indexOf(g.names.workloads, m.workload) < 0)
      throw InvalidInput(path + ":" + std::to_string(m.line) + ": 'workload' names '" + m.workload +
                         "', which the platform's settings don't have");
  g.chart.emplace(*g.cassandra, g.terms, g.names);
}

std::vector<const char*> changedForRestart(const Config& a, const Config& b) {
  std::vector<const char*> fields;
  if (a.name != b.name) fields.push_back("name");
  if (!runtime::sameAddress(a.listen, b.listen)) fields.push_back("listen");
  if (a.terms.seed != b.terms.seed) fields.push_back("seed");
  if (a.sockets != b.sockets || a.memory != b.memory) fields.push_back("limits");
  if (a.settings != b.settings) fields.push_back("settings");
  return fields;
}

Config parseConfig(const std::string& text) {
  using Kind = json::Value::Kind;
  json::Value config;
  std::string why;
  if (!json::parse(text, config, why)) throw InvalidInput("the configuration is no JSON: " + why);
  if (config.kind != Kind::object) throw InvalidInput("the configuration is no JSON object");
  Config g;
  g.name = need(config, "name", Kind::string).text;
  g.listen = addressIn(config, "listen", true);
  g.discovery = addressIn(config, "discovery", false);
  g.discoveryHost = need(config, "discovery", Kind::string).text;
  const std::string& seed = need(config, "seed", Kind::string).text;
  auto seedValue = parseNumber<std::uint64_t>(seed, 16);
  if (!seedValue) badValue("seed", seed);
  auto known = discovery::parseEndpointList(need(config, "known", Kind::object));
  if (const auto* error = std::get_if<discovery::EndpointListError>(&known))
    throw InvalidInput(std::string("the known list makes no sense: ") + discovery::describe(*error));
  g.known = std::get<discovery::EndpointList>(std::move(known));
  g.settings.add("", need(config, "settings", Kind::object));
  g.terms = engineSettingsFrom(g.settings, *seedValue, g.names);
  g.keepalive = Duration{g.settings.integer("limits.keepalive")};
  if (g.keepalive <= g.terms.connectTimeout || g.terms.connectTimeout <= Duration{})
    throw InvalidInput("limits.keepalive must be above limits.connect_timeout, and that above 0");
  // The smaller of what the platform states and what the process may really hold.
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  g.sockets = static_cast<std::size_t>(limit.rlim_cur);
  g.memory = kMostMemory;
  if (const json::Value* limits = config.find("limits")) {
    if (const json::Value* sockets = limits->find("sockets"); sockets && sockets->isNumber())
      g.sockets = std::min(g.sockets, static_cast<std::size_t>(std::max(0.0, sockets->number)));
    if (const json::Value* mb = limits->find("memory_mb"); mb && mb->isNumber())
      g.memory =
          static_cast<std::size_t>(std::clamp(mb->number * 1048576, 0.0, double{kMostMemory}));
  }
  if (g.memory < kLeastMemory) throw InvalidInput("less than 16 MB of memory is allowed");
  if (g.sockets < 64) throw InvalidInput("fewer than 64 sockets are allowed");
  return g;
}

}  // namespace reedchute::proxy

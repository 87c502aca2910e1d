#include "config/config.h"

#include <sys/resource.h>

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>
#include <variant>

#include "base/parse_number.h"
#include "config/hcl_settings.h"
#include "ledger/settings.h"
#include "protocols/cassandra/settings.h"
#include "runtime/socket.h"
#include "runtime/system_error.h"

namespace reedchute::config {
namespace {

using Kind = json::Value::Kind;

constexpr std::size_t kMinMemory = 16u << 20;  // bytes
constexpr std::size_t kMaxMemory = 1u << 30;   // bytes
constexpr std::size_t kMinDescriptors = 64;
constexpr double kBytesPerMegabyte = 1048576;

const json::Value& require(const json::Value& object, const char* name, Kind kind) {
  const json::Value* value = object.find(name);
  if (!value || value->kind != kind)
    throw InvalidInput(std::string("the configuration has no proper '") + name + "'");
  return *value;
}

const std::string& requireString(const json::Value& object, const char* name) {
  return require(object, name, Kind::string).text;
}

sockaddr_in requireAddress(const json::Value& object, const char* name, bool allowsPortZero) {
  auto address = runtime::parseAddress(requireString(object, name), allowsPortZero);
  if (!address) throw InvalidInput(std::string("the configuration's '") + name + "' is no address");
  return *address;
}

json::Value parseObject(const std::string& text) {
  json::Value object;
  std::string parseError;
  if (!json::parse(text, object, parseError))
    throw InvalidInput("the configuration is no JSON: " + parseError);
  if (object.kind != Kind::object) throw InvalidInput("the configuration must be a JSON object");
  return object;
}

std::uint64_t parseSeed(const std::string& text) {
  auto seed = parseNumber<std::uint64_t>(text, 16);
  if (!seed) badValue("seed", text);
  return *seed;
}

discovery::EndpointList parseKnownEndpoints(const json::Value& value) {
  auto parsed = discovery::parseEndpointList(value);
  if (const auto* error = std::get_if<discovery::EndpointListError>(&parsed))
    throw InvalidInput(std::string("the known list makes no sense: ") +
                       discovery::describe(*error));
  return std::get<discovery::EndpointList>(std::move(parsed));
}

// Each limit is the smaller of the configured value and what the process can use: RLIMIT_NOFILE for
// descriptors, kMaxMemory for memory.
void readLimits(const json::Value& object, Config& config) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  config.maxDescriptors = static_cast<std::size_t>(limit.rlim_cur);
  config.maxMemory = kMaxMemory;
  if (const json::Value* limits = object.find("limits")) {
    const json::Value* sockets = limits->find("sockets");
    if (sockets && sockets->isNumber())
      config.maxDescriptors = std::min(config.maxDescriptors,
                                       static_cast<std::size_t>(std::max(0.0, sockets->number)));
    const json::Value* megabytes = limits->find("memory_mb");
    if (megabytes && megabytes->isNumber())
      config.maxMemory = static_cast<std::size_t>(
          std::clamp(megabytes->number * kBytesPerMegabyte, 0.0, double{kMaxMemory}));
  }
  if (config.maxMemory < kMinMemory) throw InvalidInput("limits.memory_mb must be at least 16");
  if (config.maxDescriptors < kMinDescriptors)
    throw InvalidInput("fewer than 64 sockets are allowed");
}

void addLedger(Config& config, const Section& file, const std::vector<Section>& blocks) {
  if (blocks.size() > 1) file.fail("ledger", "may be given only once");
  if (!blocks.empty()) config.ledger = ledger::usageRecorderConfigFrom(blocks.front(), config.name);
}

void addCassandra(Config& config, const Section& file, const std::vector<Section>& blocks,
                  const std::string& path) {
  if (blocks.size() > 1) file.fail("cassandra", "may be given only once");
  if (blocks.empty()) return;
  config.cassandra = protocols::cassandra::parseConfig(blocks.front());
  for (const protocols::cassandra::Mapping& mapping : config.cassandra->mappings)
    if (indexOf(config.names.workloads, mapping.workload) < 0)
      throw InvalidInput(path + ":" + std::to_string(mapping.line) + ": 'workload' names '" +
                         mapping.workload + "', which the platform's settings don't have");
  config.tableMapping.emplace(*config.cassandra, config.engineSettings, config.names);
}

}  // namespace

Config loadConfig(const char* path) {
  if (!path || !*path) throw InvalidInput("LB_CONFIG names no file");
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::error_code error(errno, std::generic_category());
    std::string what = std::string("the configuration can't be opened: ") + path;
    if (runtime::isTransientError(error)) throw std::system_error(error, what);
    throw InvalidInput(what);
  }
  Config config = parseConfig({std::istreambuf_iterator<char>(file), {}});
  config.path = path;
  return config;
}

Config parseConfig(const std::string& text) {
  json::Value object = parseObject(text);
  Config config;
  config.name = requireString(object, "name");
  config.listenAddress = requireAddress(object, "listen", true);
  config.discoveryAddress = requireAddress(object, "discovery", false);
  config.discoveryHost = requireString(object, "discovery");
  std::uint64_t seed = parseSeed(requireString(object, "seed"));
  config.knownEndpoints = parseKnownEndpoints(require(object, "known", Kind::object));
  config.platformSettings.add("", require(object, "settings", Kind::object));
  config.engineSettings = engineSettingsFrom(config.platformSettings, seed, config.names);
  config.engineSettings.listedStartsNeedProof = true;
  config.keepalive = Duration{config.platformSettings.integer("limits.keepalive")};
  Duration connectTimeout = config.engineSettings.connectTimeout;
  if (config.keepalive <= connectTimeout || connectTimeout <= Duration{})
    throw InvalidInput("limits.keepalive must be above limits.connect_timeout, and that above 0");
  readLimits(object, config);
  return config;
}

void addSettings(Config& config, const std::string& path) {
  Block block = readBlockFile(path);
  Section file(path, block);
  std::vector<Section> cassandraBlocks = file.blocks("cassandra");
  std::vector<Section> ledgerBlocks = file.blocks("ledger");
  file.requireAllRead();
  addLedger(config, file, ledgerBlocks);
  addCassandra(config, file, cassandraBlocks, path);
}

std::vector<const char*> fieldsNeedingRestart(const Config& current, const Config& next) {
  std::vector<const char*> fields;
  if (current.name != next.name) fields.push_back("name");
  if (!runtime::sameAddress(current.listenAddress, next.listenAddress)) fields.push_back("listen");
  if (current.engineSettings.seed != next.engineSettings.seed) fields.push_back("seed");
  if (current.maxDescriptors != next.maxDescriptors || current.maxMemory != next.maxMemory)
    fields.push_back("limits");
  if (current.platformSettings != next.platformSettings) fields.push_back("settings");
  return fields;
}

}  // namespace reedchute::config

// What the front is told when it starts.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/engine_settings.h"
#include "decision/engine.h"
#include "discovery/endpoint_list.h"
#include "ledger/usage_recorder.h"
#include "protocols/cassandra/config.h"
#include "protocols/cassandra/table_mapping.h"

namespace reedchute::proxy {

struct Config {
  std::string path;  // of the file
  std::string name;
  sockaddr_in listen{}, discovery{};
  std::string discoveryHost;
  std::size_t sockets = 0;
  std::size_t memory = 0;  // bytes
  discovery::EndpointList known;
  PlatformSettings settings;
  Names names;
  EngineSettings terms;
  Duration keepalive;
  // From our own settings, where there are any.
  std::optional<protocols::cassandra::Config> cassandra;
  std::optional<protocols::cassandra::TableMapping> chart;
  std::optional<ledger::UsageRecorderConfig> ledger;
};

// Reads the file at `path`; throws InvalidInput with one plain line where it is missing or makes no
// sense, and std::system_error where it can't be read at this moment.
Config loadConfig(const char* path);
Config parseConfig(const std::string& text);

// Adds what our own settings say, from a file in HCL; throws InvalidInput with file and line.
void addSettings(Config& config, const std::string& path);

// The fields in which they differ and which only a restart takes up.
std::vector<const char*> changedForRestart(const Config& a, const Config& b);

}  // namespace reedchute::proxy

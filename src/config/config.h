// The configuration of a proxy process: the platform's JSON file, which LB_CONFIG names, and the
// optional HCL file with reedchute's own settings.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "config/engine_settings.h"
#include "decision/engine.h"
#include "discovery/endpoint_list.h"
#include "ledger/usage_recorder.h"
#include "protocols/cassandra/config.h"
#include "protocols/cassandra/table_mapping.h"

namespace reedchute::config {

struct Config {
  std::string path;  // the file that it was read from
  std::string name;
  sockaddr_in listenAddress{};
  sockaddr_in discoveryAddress{};
  std::string discoveryHost;  // discoveryAddress as text
  std::size_t maxDescriptors = 0;
  std::size_t maxMemory = 0;  // bytes
  discovery::EndpointList knownEndpoints;
  PlatformSettings platformSettings;
  Names names;
  EngineSettings engineSettings;
  Duration keepalive;
  // Set only if the HCL file configures them.
  std::optional<protocols::cassandra::Config> cassandra;
  std::optional<protocols::cassandra::TableMapping> tableMapping;
  std::optional<ledger::UsageRecorderConfig> ledger;
};

// Reads the file at `path`. Throws InvalidInput if it is missing or invalid, and std::system_error
// if it can't be opened for a temporary reason.
Config loadConfig(const char* path);
// Parses the text of the JSON file. Throws InvalidInput.
Config parseConfig(const std::string& text);

// Adds the settings of the HCL file at `path`. Throws InvalidInput with file and line.
void addSettings(Config& config, const std::string& path);

// Returns the names of the fields that differ and that can be changed only by a restart.
std::vector<const char*> fieldsNeedingRestart(const Config& current, const Config& next);

}  // namespace reedchute::config

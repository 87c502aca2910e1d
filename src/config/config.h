// The configuration of a proxy process: what the file that LB_CONFIG names holds, and what the HCL
// file of our own settings adds to it.
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
  std::string path;  // of the file that it was read from
  std::string name;
  sockaddr_in listenAddress{};
  sockaddr_in discoveryAddress{};
  std::string discoveryHost;  // the same address as text
  std::size_t maxDescriptors = 0;
  std::size_t maxMemory = 0;  // bytes
  discovery::EndpointList knownEndpoints;
  PlatformSettings platformSettings;
  Names names;
  EngineSettings engineSettings;
  Duration keepalive;
  // From the HCL file, if there is one.
  std::optional<protocols::cassandra::Config> cassandra;
  std::optional<protocols::cassandra::TableMapping> tableMapping;
  std::optional<ledger::UsageRecorderConfig> ledger;
};

// Reads the file at `path`. Throws InvalidInput if it is missing or invalid, and std::system_error
// if it can't be opened at the moment.
Config loadConfig(const char* path);
// Throws InvalidInput.
Config parseConfig(const std::string& text);

// Adds the settings of an HCL file. Throws InvalidInput with file and line.
void addSettings(Config& config, const std::string& path);

// The fields that differ and that only a restart can change.
std::vector<const char*> fieldsNeedingRestart(const Config& current, const Config& next);

}  // namespace reedchute::config

// Parses the block `cassandra` of the settings file.
#pragma once

#include "config/hcl_settings.h"
#include "protocols/cassandra/config.h"

namespace reedchute::protocols::cassandra {

// Throws InvalidInput, with file, line and key, if a value is missing, unknown or invalid.
Config parseConfig(config::Section section);

}  // namespace reedchute::protocols::cassandra

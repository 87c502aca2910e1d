// Reads the block `cassandra` of the settings file.
#pragma once

#include "config/hcl_settings.h"
#include "protocols/cassandra/config.h"

namespace reedchute::protocols::cassandra {

// Throws InvalidInput, with file, line and key, where something is missing, unknown or makes no
// sense.
Config parseConfig(config::Section section);

}  // namespace reedchute::protocols::cassandra

// Reads the block `ledger` of the settings file.
#pragma once

#include <string>

#include "config/hcl_settings.h"
#include "ledger/usage_recorder.h"

namespace reedchute::ledger {

// Reads a key from a file, without trailing line breaks. Returns an empty string if the file can't
// be read.
std::string keyInFile(const std::string& path);

// Reads the settings and the key files they name. `instance` is the default instance name. Throws
// InvalidInput with the file, line and name of the invalid setting.
UsageRecorderConfig usageRecorderConfigFrom(config::Section section, const std::string& instance);

}  // namespace reedchute::ledger

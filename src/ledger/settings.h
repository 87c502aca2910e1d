// The block `ledger` of the settings file.
#pragma once

#include <string>

#include "config/hcl_settings.h"
#include "ledger/usage_recorder.h"

namespace reedchute::ledger {

// The key in a file, without the end of its line; empty where there is none.
std::string keyInFile(const std::string& path);

// Throws InvalidInput, with file, line and key of the setting. Reads the key files.
UsageRecorderConfig usageRecorderConfigFrom(config::Section section, const std::string& instance);

}  // namespace reedchute::ledger

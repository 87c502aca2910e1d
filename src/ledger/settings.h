// The block `ledger` of our settings.
#pragma once

#include "config/hcl_settings.h"
#include "ledger/usage_recorder.h"

namespace reedchute::ledger {

// A key as it stands in a file, without the end of its line; empty where there is none.
std::string keyInFile(const std::string& path);

// Throws InvalidInput, with file, line and key. Reads the key files.
UsageRecorderConfig usageRecorderConfigFrom(config::Section s, const std::string& instance);

}  // namespace reedchute::ledger

// The block `ledger` of our settings.
#pragma once

#include "hcl/settings.h"
#include "ledger/feed.h"

namespace reedchute::ledger {

// Throws Malformed, with file, line and key. Reads the key files.
FeedGiven feedFrom(hcl::Section s, const std::string& instance);

}  // namespace reedchute::ledger

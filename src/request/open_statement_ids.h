// The ids of the statements that still await their response.
#pragma once

#include <string>
#include <unordered_set>

namespace reedchute::request {

using OpenStatementIds = std::unordered_set<std::string>;

}  // namespace reedchute::request

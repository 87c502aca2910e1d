// The ids of the statements that are waiting for their final response.
#pragma once

#include <string>
#include <unordered_set>

namespace reedchute::request {

using OpenStatementIds = std::unordered_set<std::string>;

}  // namespace reedchute::request

// Prints what a run found, and keeps the files of one that failed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "oracle.h"

namespace soak {

void printVerdict(const Verdict& verdict);
// Counts the failures of the fronts' own checks in their logs, and prints the first of each.
std::size_t printFailedChecks(const std::string& folder);
// Copies the events and logs of a run to `keep`/`seed`.
void keepFolder(const std::string& folder, const std::string& keep, std::uint64_t seed);

}  // namespace soak

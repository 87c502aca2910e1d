// Load reports of stores, in whatever protocol they come. No I/O.
#pragma once

#include <string_view>

#include "request/request.h"

namespace reedchute::request {

// name=value pairs set apart by commas, as reports come. One whose position lies after `newest` is
// none.
StoreReport readReport(std::string_view text, WallTime newest);

// A store's word for its role, as it stands beside its answers.
Role readRole(std::string_view word);

// A position in milliseconds of Unix time; nothing where it is no number, or lies after `newest`.
std::optional<WallTime> readPosition(std::string_view text, WallTime newest);

}  // namespace reedchute::request

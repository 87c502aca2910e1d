// The block `cassandra` of our settings.
#pragma once

#include "doors/cql/given.h"
#include "hcl/settings.h"

namespace reedchute::doors::cql {

// Throws Malformed, with file, line and key, where something is missing, unknown or makes no sense.
Given givenFrom(hcl::Section s);

}  // namespace reedchute::doors::cql

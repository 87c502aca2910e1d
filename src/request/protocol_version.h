// Identifies the protocol and version in which a statement was received.
#pragma once

namespace reedchute::request {

// An index into the connection pools' table of protocol versions. Versions whose statements can't
// share a connection to a store have separate entries.
using ProtocolVersion = int;

}  // namespace reedchute::request

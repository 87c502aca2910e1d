// The protocol in whose form a statement arrived.
#pragma once

namespace reedchute::request {

// A row of the table of protocol versions that the connection pools hold. Versions whose statements
// can't share a connection have a row each.
using ProtocolVersion = int;

}  // namespace reedchute::request

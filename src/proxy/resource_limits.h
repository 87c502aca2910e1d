// Divides the descriptors and memory of the process among its components, and derives their
// timeouts. Pure functions of the configuration.
#pragma once

#include <cstddef>

#include "client/client_connections.h"
#include "config/config.h"
#include "discovery/endpoint_watcher.h"
#include "upstream/connection_pools.h"

namespace reedchute::proxy {

upstream::ConnectionPools::Limits upstreamLimits(const config::Config& config);

// The maximum number of client connections of all protocols together.
std::size_t clientCapacity(const config::Config& config);

// The limits for the clients of one protocol, which may use `connections` of the `capacity` client
// connections of the process.
client::ClientConnections::Limits clientLimits(const config::Config& config, std::size_t capacity,
                                               std::size_t connections);

// The timeouts and delays of polls of the discovery service.
discovery::EndpointWatcher::Timing discoveryTiming(const EngineSettings& settings);

// The maximum size in bytes of an endpoint list as received.
std::size_t endpointListMemory(const config::Config& config);

// The maximum memory in bytes of all open statements together.
std::size_t statementMemory(const config::Config& config);

}  // namespace reedchute::proxy

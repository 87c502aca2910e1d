// How the process's descriptors, memory and time-outs are shared among its parts. Pure functions of
// the configuration.
#pragma once

#include <cstddef>

#include "client/client_connections.h"
#include "config/config.h"
#include "discovery/endpoint_watcher.h"
#include "upstream/connection_pools.h"

namespace reedchute::proxy {

upstream::ConnectionPools::Limits upstreamLimits(const config::Config& config);

// Client connections that the process may hold, of all protocols together.
std::size_t clientCapacity(const config::Config& config);

// The limits for one protocol's clients, which may hold `connections` of the `capacity` connections
// of all protocols.
client::ClientConnections::Limits clientLimits(const config::Config& config, std::size_t capacity,
                                               std::size_t connections);

discovery::EndpointWatcher::Timing discoveryTiming(const EngineSettings& settings);

// Bytes that an endpoint list may have as it is received.
std::size_t endpointListMemory(const config::Config& config);

// Bytes that open statements may take together.
std::size_t statementMemory(const config::Config& config);

}  // namespace reedchute::proxy

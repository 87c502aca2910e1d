#include "proxy/resource_limits.h"

#include <algorithm>

namespace reedchute::proxy {
namespace {

// Descriptors.
constexpr std::size_t kReservedDescriptors = 24;  // for discovery, signals, the log and the like
constexpr std::size_t kUpstreamDivisor = 3;       // of the rest, a third is for stores
constexpr std::size_t kIdleClientDivisor = 6;     // of all, a sixth for idle clients

// Memory, as divisors of what is allowed.
constexpr std::size_t kClientMemoryDivisor = 4;    // buffers of clients
constexpr std::size_t kUpstreamMemoryDivisor = 4;  // responses on their way from stores
constexpr std::size_t kRowMemoryDivisor = 32;      // one row of a response
constexpr std::size_t kStatementMemoryDivisor = 2;
constexpr std::size_t kListMemoryDivisor = 16;

// Time-outs of clients, in connect time-outs.
constexpr double kFirstByteGrace = 0.1;
constexpr double kMessageTimeout = 6;
constexpr double kIdleTimeout = 8;

// Discovery, as parts of the time after which an unread list counts as known.
constexpr double kWatchPart = 2.0 / 5;
constexpr double kSilencePart = 1.0 / 6;
// Discovery, as parts of the grace of a drain.
constexpr double kConnectPart = 2.0 / 5;
constexpr double kRetryPart = 1.0 / 5;

}  // namespace

upstream::ConnectionPools::Limits upstreamLimits(const config::Config& config) {
  return {
      .connectTimeout = config.engineSettings.connectTimeout,
      .keepalive = config.keepalive,
      .maxConnections = (config.maxDescriptors - kReservedDescriptors) / kUpstreamDivisor,
      .maxRowBytes = config.maxMemory / kRowMemoryDivisor,
      .maxBufferedBytes = config.maxMemory / kUpstreamMemoryDivisor,
  };
}

std::size_t clientCapacity(const config::Config& config) {
  std::size_t rest = config.maxDescriptors - kReservedDescriptors;
  return rest - rest / kUpstreamDivisor;
}

client::ClientConnections::Limits clientLimits(const config::Config& config, std::size_t capacity,
                                               std::size_t connections) {
  Duration unit = config.engineSettings.connectTimeout;
  auto shareOf = [&](std::size_t total) {
    if (connections == capacity) return total;
    return std::max<std::size_t>(1, total * connections / capacity);
  };
  return {
      .maxSessions = connections,
      .linger = unit,
      .writeProgressTimeout = config.keepalive,
      .firstRequestGrace = unit * kFirstByteGrace,
      .messageTimeout = unit * kMessageTimeout,
      .idleTimeout = unit * kIdleTimeout,
      .maxIdle = shareOf(config.maxDescriptors / kIdleClientDivisor),
      .maxBufferBytes = shareOf(config.maxMemory / kClientMemoryDivisor),
  };
}

discovery::EndpointWatcher::Timing discoveryTiming(const EngineSettings& settings) {
  Duration connect = settings.connectTimeout;
  if (!settings.pollsEndpoints) connect = std::min(connect, settings.drainGrace * kConnectPart);
  return {
      .maxHold = std::min(settings.maxPollInterval,
                          settings.endpointsAssumedKnownAfter * kWatchPart),
      .silence = settings.endpointsAssumedKnownAfter * kSilencePart,
      .connectTimeout = connect,
      .retryDelay = std::min(settings.connectTimeout, settings.drainGrace) * kRetryPart,
      .isOnDemand = settings.pollsEndpoints,
  };
}

std::size_t endpointListMemory(const config::Config& config) {
  return config.maxMemory / kListMemoryDivisor;
}

std::size_t statementMemory(const config::Config& config) {
  return config.maxMemory / kStatementMemoryDivisor;
}

}  // namespace reedchute::proxy

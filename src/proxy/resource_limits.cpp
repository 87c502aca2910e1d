#include "proxy/resource_limits.h"

#include <algorithm>

namespace reedchute::proxy {
namespace {

// Descriptors, of those that the process may open.
constexpr std::size_t kReservedDescriptors = 24;  // discovery, signals, the log and the like
constexpr std::size_t kUpstreamDivisor = 3;       // a third of the rest is for stores
constexpr std::size_t kIdleClientDivisor = 6;     // a sixth of all is for idle clients

// Memory budgets, as divisors of Config::maxMemory.
constexpr std::size_t kClientMemoryDivisor = 4;    // buffers of client connections
constexpr std::size_t kUpstreamMemoryDivisor = 4;  // responses being received from stores
constexpr std::size_t kRowMemoryDivisor = 32;      // one row of a response
constexpr std::size_t kStatementMemoryDivisor = 2;
constexpr std::size_t kListMemoryDivisor = 16;

// Client timeouts, as multiples of the connect timeout.
constexpr double kFirstRequestGrace = 0.1;
constexpr double kMessageTimeout = 6;
constexpr double kIdleTimeout = 8;

// Discovery, as shares of EngineSettings::endpointsAssumedKnownAfter.
constexpr double kMaxWatchShare = 2.0 / 5;
constexpr double kResponseGraceShare = 1.0 / 6;
// Discovery, as shares of EngineSettings::drainGrace.
constexpr double kConnectTimeoutShare = 2.0 / 5;
constexpr double kRetryDelayShare = 1.0 / 5;

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
      .firstRequestGrace = unit * kFirstRequestGrace,
      .messageTimeout = unit * kMessageTimeout,
      .idleTimeout = unit * kIdleTimeout,
      .maxIdle = shareOf(config.maxDescriptors / kIdleClientDivisor),
      .maxBufferBytes = shareOf(config.maxMemory / kClientMemoryDivisor),
  };
}

discovery::EndpointWatcher::Timing discoveryTiming(const EngineSettings& settings) {
  Duration connect = settings.connectTimeout;
  if (!settings.pollsEndpoints)
    connect = std::min(connect, settings.drainGrace * kConnectTimeoutShare);
  return {
      .maxWatchTime = std::min(settings.maxPollInterval,
                               settings.endpointsAssumedKnownAfter * kMaxWatchShare),
      .responseGrace = settings.endpointsAssumedKnownAfter * kResponseGraceShare,
      .connectTimeout = connect,
      .retryDelay = std::min(settings.connectTimeout, settings.drainGrace) * kRetryDelayShare,
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

#include "proxy/proxy.h"

#include <utility>

#include "log/log.h"
#include "proxy/resource_limits.h"
#include "proxy/startup_retry.h"

namespace reedchute::proxy {
namespace {

// Statements are accepted for this long after the termination signal, because clients keep
// connecting until they have noticed the shutdown.
constexpr Duration kDrainTime{550'000};
// An update of the endpoint list counts as known after this time, even if the watch missed it.
constexpr Duration kEndpointsAssumedKnownAfter{6'000'000};
// What a response reports counts as known this long after the store wrote it.
constexpr Duration kResponseAssumedKnownAfter{100'000};
constexpr double kFirstListTimeout = 2;  // connect timeouts
constexpr Duration kCountersInterval{5'000'000};
constexpr Duration kSlowStartLogInterval{250'000};
constexpr double kLedgerLogTicks = 4;

config::Config withAssumedKnownTimes(config::Config config) {
  config.engineSettings.endpointsAssumedKnownAfter = kEndpointsAssumedKnownAfter;
  config.engineSettings.responseAssumedKnownAfter = kResponseAssumedKnownAfter;
  return config;
}

std::unique_ptr<ledger::UsageRecorder> openLedger(const config::Config& config) {
  if (!config.ledger) return nullptr;
  return std::make_unique<ledger::UsageRecorder>(*config.ledger, config.names,
                                                 config.engineSettings);
}

request::ProtocolVersion probeProtocolVersion(const Protocols& protocols) {
  request::ProtocolVersion version = 0;
  for (const auto& protocol : protocols)
    if (protocol->isUsedForProbes()) version = protocol->versions().front();
  return version;
}

}  // namespace

Proxy::Proxy(config::Config config)
    : config_(withAssumedKnownTimes(std::move(config))),
      engine_(config_.engineSettings, scheduler_.now()),
      ledger_(openLedger(config_)),
      responder_(endpointIds_.groups),
      rounds_(scheduler_),
      guard_(config_.engineSettings),
      attempts_(scheduler_, engine_, responder_, statements_, rounds_, guard_,
                config_.engineSettings),
      admission_(engine_, statements_, rounds_),
      intake_(scheduler_, config_, statements_, rounds_, admission_, ledger_.get()),
      pools_(scheduler_, attempts_, upstreamLimits(config_)),
      protocols_(createProtocols(
          config_, {scheduler_, intake_, pools_, endpointIds_, statements_.openIds()})),
      dispatcher_(scheduler_, statements_, pools_, config_.engineSettings.connectTimeout,
                  probeProtocolVersion(protocols_)),
      router_(scheduler_, engine_, statements_, rounds_, dispatcher_, responder_, pools_),
      endpoints_({.scheduler = scheduler_,
                  .engine = engine_,
                  .statements = statements_,
                  .rounds = rounds_,
                  .guard = guard_,
                  .pools = pools_},
                 config_, endpointIds_, protocols_),
      endpointWatcher_(scheduler_, *this, config_.discoveryAddress, config_.discoveryHost,
                       config_.knownEndpoints.version, discoveryTiming(config_.engineSettings),
                       endpointListMemory(config_)),
      reloader_(scheduler_, config_, endpointWatcher_),
      slowStartLog_(endpointIds_),
      countersLog_({.requests = intake_.counters(),
                    .statements = statements_,
                    .attempts = attempts_,
                    .responder = responder_,
                    .dispatcher = dispatcher_,
                    .pools = pools_,
                    .ids = endpointIds_,
                    .endpoints = endpoints_,
                    .clients = clients_,
                    .slowStarts = slowStartLog_}),
      shutdownRequested_(scheduler_),
      firstListReceived_(scheduler_) {
  router_.setEndpointWatcher(&endpointWatcher_);
  scheduler_.onClockStep(config_.engineSettings.tick,
                         [this](Duration ahead) { onClockStep(ahead); });
  if (ledger_) {
    responder_.setUsageMeter(ledger_.get());
    ledgerLog_.emplace(scheduler_, *ledger_, config_.engineSettings.tick * kLedgerLogTicks);
  }
  createClients();
}

void Proxy::createClients() {
  std::size_t capacity = clientCapacity(config_);
  std::size_t reserved = 0;
  for (const auto& protocol : protocols_) reserved += protocol->reservedConnections();
  if (reserved * 2 > capacity)
    throw InvalidInput(
        "the client connections reserved for protocols exceed half of the process's client "
        "connections");
  for (const auto& protocol : protocols_) {
    std::size_t connections = protocol->reservedConnections();
    if (connections == 0) connections = capacity - reserved;
    clients_.push_back(std::make_unique<client::ClientConnections>(
        scheduler_, protocol->clientProtocol(), intake_.counters(),
        clientLimits(config_, capacity, connections)));
  }
}

void Proxy::enterPhase(Lifecycle phase) {
  lifecycle_ = phase;
  log::line("lifecycle", "name=%s phase=%s open=%zu sessions=%zu", config_.name.c_str(),
            nameOf(phase), statements_.openCount(), sessionCount(clients_));
}

void Proxy::run() {
  enterPhase(Lifecycle::starting);
  endpoints_.apply(config_.knownEndpoints, false);
  signalWatcher_.emplace(scheduler_, shutdownRequested_, reloader_.requestEvent());
  spawnTasks();
  listen();
  engine_.holdStatements();
  scheduler_.spawn(serveAfterFirstList());
  scheduler_.run([this] { router_.runRound(); });
  countersLog_.writeFinal();
  enterPhase(Lifecycle::ended);
  log::flushSuppressed();
}

void Proxy::spawnTasks() {
  scheduler_.spawn(signalWatcher_->run());
  scheduler_.spawn(reloader_.run());
  scheduler_.spawn(router_.runWakeTimer());
  scheduler_.spawn(endpointWatcher_.run());
  scheduler_.spawn(shutDownOnSignal());
  scheduler_.spawn(logCounters());
  scheduler_.spawn(logSlowStarts());
  scheduler_.spawn(endpoints_.removeExpired());
  if (ledgerLog_) scheduler_.spawn(ledgerLog_->run());
}

void Proxy::listen() {
  for (std::size_t k = 0; k < clients_.size(); ++k) {
    int port = retryAtStart([&] { return clients_[k]->listen(protocols_[k]->listenAddress()); });
    protocols_[k]->onListening(port);
    if (k == 0)
      log::line("listening", "port=%d", port);
    else
      log::line("listening_too", "protocol=%s port=%d", protocols_[k]->name(), port);
  }
}

// The endpoint list in the configuration may be outdated, and a statement routed by it could be
// sent to a store that has drained since. Statements therefore wait for the first list from the
// discovery service, within their deadlines. The wait is limited, because the service may be
// unreachable.
runtime::Task<> Proxy::serveAfterFirstList() {
  for (const auto& group : clients_) group->startAccepting();
  Duration timeout = config_.engineSettings.connectTimeout * kFirstListTimeout;
  co_await firstListReceived_.wait(scheduler_.now() + timeout);
  releaseStatements();
  if (lifecycle_ == Lifecycle::starting) enterPhase(Lifecycle::serving);
}

void Proxy::releaseStatements() {
  engine_.releaseStatements(scheduler_.now());
  rounds_.request();
}

runtime::Task<> Proxy::shutDownOnSignal() {
  co_await shutdownRequested_.wait();
  TimePoint drainedAt = scheduler_.now() + kDrainTime;
  intake_.closeAt(drainedAt);
  enterPhase(Lifecycle::draining);
  for (const auto& protocol : protocols_) protocol->onDraining();
  while (scheduler_.now() < drainedAt) co_await shutdownRequested_.wait(drainedAt);
  enterPhase(Lifecycle::shuttingDown);
  releaseStatements();
  for (const auto& group : clients_) group->drain();
  for (const auto& group : clients_) co_await group->stopListening();
  // Exiting while a response is being written would truncate it.
  while (sessionCount(clients_) > 0) {
    // Only open statements need the discovery service.
    if (statements_.openCount() == 0) reloader_.stop();
    co_await shutdownRequested_.wait(scheduler_.now() + config_.engineSettings.tick);
  }
  scheduler_.stop();
}

runtime::Task<> Proxy::logCounters() {
  for (;;) {
    co_await runtime::sleepUntil(scheduler_, scheduler_.now() + kCountersInterval);
    countersLog_.write();
    if (ledgerLog_) ledgerLog_->write();
    log::flushSuppressed();
  }
}

runtime::Task<> Proxy::logSlowStarts() {
  for (;;) {
    co_await runtime::sleepUntil(scheduler_, scheduler_.now() + kSlowStartLogInterval);
    slowStartLog_.write(engine_.slowStarts(scheduler_.now()), scheduler_.now());
  }
}

void Proxy::onEndpointsChanged(const discovery::EndpointList& list) {
  log::line("endpoints_updated", "version=%lld full=%d entries=%zu",
            static_cast<long long>(list.version), list.isFull, list.endpoints.size());
  endpoints_.apply(list, true);
  firstListReceived_.set();
}

void Proxy::onPollFailed() {
  engine_.onDiscoveryFailed(scheduler_.now());
  rounds_.request();
}

// Reads that still wait for a connection were routed by the freshness of stores as computed before
// the clock was set ahead. They are cancelled, so that they are routed again.
void Proxy::onClockStep(Duration ahead) {
  log::line("clock_step", "ahead_ms=%lld", static_cast<long long>(ahead.us / 1000));
  engine_.onClockStepped(ahead);
  pools_.cancelUnsent([&](const request::UpstreamRequest& request) {
    if (request.statement < 0 || ahead <= Duration{}) return false;
    int workload = statements_.at(request.statement).workload;
    Level level = config_.engineSettings.workloads[static_cast<std::size_t>(workload)].level;
    return level == Level::bounded || level == Level::fresh;
  });
  rounds_.request();
}

}  // namespace reedchute::proxy

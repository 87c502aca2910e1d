#include "proxy/protocols.h"

#include <algorithm>

#include "pipeline/statement_table.h"
#include "protocols/cassandra/client_codec.h"
#include "protocols/cassandra/upstream_connection.h"
#include "protocols/postgres/client_codec.h"
#include "protocols/postgres/upstream_connection.h"

namespace reedchute::proxy {
namespace {

// Memory budgets, as divisors of Config::maxMemory.
constexpr std::size_t kPipelineDivisor = 16;        // open statements of one client
constexpr std::size_t kReorderBufferDivisor = 16;   // responses that wait for earlier ones
constexpr std::size_t kClientPreparedDivisor = 32;  // statement texts prepared by clients
constexpr std::size_t kStorePreparedDivisor = 8;    // statements prepared at all stores together

class Postgres : public Protocol {
 public:
  Postgres(config::Config& config, const ProtocolContext& context)
      : config_(config),
        version_(context.pools.addProtocol(upstreamProtocol_)),
        clientProtocol_(
            {.scheduler = context.scheduler,
             .handler = context.handler,
             .decoder = {config.engineSettings, config.names, context.endpointIds.groups,
                         context.openIds},
             .version = version_,
             .pipeline = {.maxStatements = pipelineDepth(config.maxMemory),
                          .maxBufferedBytes = config.maxMemory / kReorderBufferDivisor}}) {}

  const char* name() const override { return "postgres"; }
  client::ClientProtocol& clientProtocol() override { return clientProtocol_; }
  sockaddr_in listenAddress() const override { return config_.listenAddress; }
  std::vector<request::ProtocolVersion> versions() const override { return {version_}; }
  bool isUsedForProbes() const override { return !config_.cassandra || !config_.cassandra->probes; }
  std::optional<sockaddr_in> upstreamAddress(const discovery::Endpoint& endpoint) const override {
    return endpoint.address;
  }

 private:
  static std::size_t pipelineDepth(std::size_t memory) {
    std::size_t minReservation = pipeline::StatementTable::reservationFor(0);
    return std::max<std::size_t>(1, memory / kPipelineDivisor / minReservation);
  }

  const config::Config& config_;
  protocols::postgres::UpstreamProtocol upstreamProtocol_;
  request::ProtocolVersion version_;
  protocols::postgres::ClientProtocol clientProtocol_;
};

class Cassandra : public Protocol, public protocols::cassandra::Fleet {
 public:
  Cassandra(config::Config& config, const ProtocolContext& context)
      : config_(*config.cassandra),
        storeIds_(context.endpointIds.stores),
        storeHashes_(context.endpointIds.stores),
        preparedTexts_(config.maxMemory / kClientPreparedDivisor),
        storePrepared_(config.maxMemory / kStorePreparedDivisor),
        upstreamV4_(config_, 4, storePrepared_),
        upstreamV5_(config_, 5, storePrepared_),
        versions_{context.pools.addProtocol(upstreamV4_), context.pools.addProtocol(upstreamV5_)},
        clientProtocol_(context.scheduler, context.handler, *this, config_,
                        protocols::cassandra::StatementDecoder(
                            config_, config.names, context.endpointIds.groups, context.openIds,
                            *config.tableMapping, preparedTexts_, storeHashes_),
                        preparedTexts_, versions_[0], versions_[1]) {}

  const char* name() const override { return "cassandra"; }
  client::ClientProtocol& clientProtocol() override { return clientProtocol_; }
  sockaddr_in listenAddress() const override { return config_.listen; }
  void onListening(int port) override {
    config_.listen.sin_port = htons(static_cast<std::uint16_t>(port));
  }
  std::size_t reservedConnections() const override { return config_.connections; }
  std::vector<request::ProtocolVersion> versions() const override { return versions_; }
  bool isUsedForProbes() const override { return config_.probes; }
  std::optional<sockaddr_in> upstreamAddress(const discovery::Endpoint& endpoint) const override {
    for (const auto& [protocol, address] : endpoint.otherAddresses)
      if (protocol == "cassandra") return address;
    sockaddr_in address = endpoint.address;
    address.sin_port = htons(config_.storePort);
    return address;
  }
  void onDraining() override { clientProtocol_.announceDraining(); }
  const std::string& storeId(int store) const override { return storeIds_.id(store); }

 private:
  protocols::cassandra::Config& config_;
  const IdIndex<std::string>& storeIds_;
  protocols::cassandra::StoreHashes storeHashes_;
  protocols::cassandra::PreparedTexts preparedTexts_;
  protocols::cassandra::StorePreparedIds::SharedLru storePrepared_;
  protocols::cassandra::UpstreamProtocol upstreamV4_;
  protocols::cassandra::UpstreamProtocol upstreamV5_;
  std::vector<request::ProtocolVersion> versions_;
  protocols::cassandra::ClientProtocol clientProtocol_;
};

}  // namespace

Protocols createProtocols(config::Config& config, const ProtocolContext& context) {
  Protocols protocols;
  protocols.push_back(std::make_unique<Postgres>(config, context));
  if (config.cassandra) protocols.push_back(std::make_unique<Cassandra>(config, context));
  return protocols;
}

}  // namespace reedchute::proxy

#include "proxy/protocols.h"

#include <algorithm>

#include "pipeline/statement_table.h"
#include "protocols/cassandra/client_codec.h"
#include "protocols/cassandra/upstream_connection.h"
#include "protocols/postgres/client_codec.h"
#include "protocols/postgres/upstream_connection.h"

namespace reedchute::proxy {
namespace {

// Of the memory: for the statements that one client has in hand, and for answers that wait for
// those before them.
constexpr std::size_t kPipelinePart = 16, kKeptPart = 16;
// Of the memory: for the texts that clients have prepared, and for what stores have prepared, all
// together.
constexpr std::size_t kPreparedPart = 32, kStoresPreparedPart = 8;

class Postgres : public Protocol {
 public:
  Postgres(Config& config, const ProtocolContext& g)
      : config_(config),
        speech_(g.stores.addProtocol(voice_)),
        door_(
            g.scheduler, g.handler,
            protocols::postgres::StatementDecoder(config.terms, config.names, g.groups, g.openIds),
            speech_,
            {std::max<std::size_t>(
                 1, config.memory / kPipelinePart / pipeline::StatementTable::costOf(0)),
             config.memory / kKeptPart}) {}

  const char* name() const override { return "postgres"; }
  client::ClientProtocol& door() override { return door_; }
  sockaddr_in listen() const override { return config_.listen; }
  std::vector<request::ProtocolVersion> versions() const override { return {speech_}; }
  bool probes() const override { return !config_.cassandra || !config_.cassandra->probes; }
  std::optional<sockaddr_in> addressOf(const discovery::Endpoint& m) const override {
    return m.address;
  }

 private:
  const Config& config_;
  protocols::postgres::UpstreamProtocol voice_;
  request::ProtocolVersion speech_;
  protocols::postgres::ClientProtocol door_;
};

class Cassandra : public Protocol, public protocols::cassandra::Fleet {
 public:
  Cassandra(Config& config, const ProtocolContext& g)
      : config_(*config.cassandra),
        storeIds_(g.storeIds),
        texts_(config.memory / kPreparedPart),
        room_(config.memory / kStoresPreparedPart),
        four_(config_, 4, room_),
        five_(config_, 5, room_),
        speeches_{g.stores.addProtocol(four_), g.stores.addProtocol(five_)},
        door_(g.scheduler, g.handler, *this, config_,
              protocols::cassandra::TakeIn(config_, config.names, g.groups, g.openIds,
                                           *config.chart, texts_),
              texts_, speeches_[0], speeches_[1]) {}

  const char* name() const override { return "cassandra"; }
  client::ClientProtocol& door() override { return door_; }
  sockaddr_in listen() const override { return config_.listen; }
  void listening(int port) override {
    config_.listen.sin_port = htons(static_cast<std::uint16_t>(port));
  }
  std::size_t connections() const override { return config_.connections; }
  std::vector<request::ProtocolVersion> versions() const override { return speeches_; }
  bool probes() const override { return config_.probes; }
  std::optional<sockaddr_in> addressOf(const discovery::Endpoint& m) const override {
    for (const auto& [protocol, address] : m.otherAddresses)
      if (protocol == "cassandra") return address;
    sockaddr_in address = m.address;
    address.sin_port = htons(config_.storePort);
    return address;
  }
  void leaving() override { door_.leaving(); }
  const std::string& storeId(int store) const override { return storeIds_.id(store); }

 private:
  protocols::cassandra::Config& config_;
  const IdIndex<std::string>& storeIds_;
  protocols::cassandra::PreparedTexts texts_;
  protocols::cassandra::StorePrepared::Room room_;
  protocols::cassandra::UpstreamProtocol four_, five_;
  std::vector<request::ProtocolVersion> speeches_;
  protocols::cassandra::ClientProtocol door_;
};

}  // namespace

std::vector<std::unique_ptr<Protocol>> protocolsOf(Config& config, const ProtocolContext& ground) {
  std::vector<std::unique_ptr<Protocol>> all;
  all.push_back(std::make_unique<Postgres>(config, ground));
  if (config.cassandra) all.push_back(std::make_unique<Cassandra>(config, ground));
  return all;
}

}  // namespace reedchute::proxy

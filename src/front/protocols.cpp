#include "front/protocols.h"

#include <algorithm>

#include "doors/cql/carrier.h"
#include "doors/cql/talk.h"
#include "doors/pg/carrier.h"
#include "doors/pg/talk.h"
#include "stages/book.h"

namespace reedchute::front {
namespace {

// Of the memory: for the statements that one client has in hand, and for answers that wait for those before them.
constexpr std::size_t kPipelinePart = 16, kKeptPart = 16;
// Of the memory: for the texts that clients have prepared, and for what stores have prepared, all together.
constexpr std::size_t kPreparedPart = 32, kStoresPreparedPart = 8;

class Postgres : public Protocol {
 public:
  Postgres(Given& given, const Ground& g)
      : given_(given),
        speech_(g.stores.add(voice_)),
        door_(g.scheduler, g.desk, doors::pg::TakeIn(given.terms, given.names, g.groups, g.openIds), speech_,
              {std::max<std::size_t>(1, given.memory / kPipelinePart / stages::Book::costOf(0)),
               given.memory / kKeptPart}) {}

  const char* name() const override { return "postgres"; }
  peers::Door& door() override { return door_; }
  sockaddr_in listen() const override { return given_.listen; }
  std::vector<exchange::Speech> speeches() const override { return {speech_}; }
  bool probes() const override { return !given_.cassandra || !given_.cassandra->probes; }
  std::optional<sockaddr_in> addressOf(const peers::Member& m) const override { return m.address; }

 private:
  const Given& given_;
  doors::pg::Voice voice_;
  exchange::Speech speech_;
  doors::pg::Door door_;
};

class Cassandra : public Protocol, public doors::cql::Fleet {
 public:
  Cassandra(Given& given, const Ground& g)
      : given_(*given.cassandra),
        storeIds_(g.storeIds),
        texts_(given.memory / kPreparedPart),
        room_(given.memory / kStoresPreparedPart),
        four_(given_, 4, room_),
        five_(given_, 5, room_),
        speeches_{g.stores.add(four_), g.stores.add(five_)},
        door_(g.scheduler, g.desk, *this, given_,
              doors::cql::TakeIn(given_, given.names, g.groups, g.openIds, *given.chart, texts_), texts_, speeches_[0],
              speeches_[1]) {}

  const char* name() const override { return "cassandra"; }
  peers::Door& door() override { return door_; }
  sockaddr_in listen() const override { return given_.listen; }
  void listening(int port) override { given_.listen.sin_port = htons(static_cast<std::uint16_t>(port)); }
  std::size_t connections() const override { return given_.connections; }
  std::vector<exchange::Speech> speeches() const override { return speeches_; }
  bool probes() const override { return given_.probes; }
  std::optional<sockaddr_in> addressOf(const peers::Member& m) const override {
    for (const auto& [protocol, address] : m.others)
      if (protocol == "cassandra") return address;
    sockaddr_in address = m.address;
    address.sin_port = htons(given_.storePort);
    return address;
  }
  void leaving() override { door_.leaving(); }
  const std::string& storeId(int store) const override { return storeIds_.id(store); }

 private:
  doors::cql::Given& given_;
  const Index<std::string>& storeIds_;
  doors::cql::PreparedTexts texts_;
  doors::cql::StorePrepared::Room room_;
  doors::cql::Voice four_, five_;
  std::vector<exchange::Speech> speeches_;
  doors::cql::Door door_;
};

}  // namespace

std::vector<std::unique_ptr<Protocol>> protocolsOf(Given& given, const Ground& ground) {
  std::vector<std::unique_ptr<Protocol>> all;
  all.push_back(std::make_unique<Postgres>(given, ground));
  if (given.cassandra) all.push_back(std::make_unique<Cassandra>(given, ground));
  return all;
}

}  // namespace reedchute::front

// The Cassandra protocol towards the clients: many streams on a connection, answered in any order.
#pragma once

#include <vector>

#include "doors/cql/take_in.h"
#include "peers/clients.h"
#include "sched/scheduler.h"

namespace reedchute::doors::cql {

class Session;

// What sessions ask of the front beside its desk.
class Fleet {
 public:
  virtual ~Fleet() = default;
  virtual const std::string& storeId(int store) const = 0;
};

class Door : public peers::Door {
 public:
  // `speeches`: the rows of the stores' table for versions 4 and 5.
  Door(sched::Scheduler& s, exchange::Desk& d, const Fleet& f, const Given& g, TakeIn t, PreparedTexts& p,
       exchange::Speech four, exchange::Speech five)
      : scheduler(s), desk(d), fleet(f), given(g), takeIn(std::move(t)), texts(p), speeches{four, five} {}

  std::unique_ptr<peers::Talk> talk(peers::Line& line) override;
  std::size_t mostMessage() const override;
  // Tells those who asked for it that this front goes down.
  void leaving();
  // A change of the schema went through this front: `event` is the body of EVENT.
  void schemaChanged(std::string_view event);

  sched::Scheduler& scheduler;
  exchange::Desk& desk;
  const Fleet& fleet;
  const Given& given;
  const TakeIn takeIn;
  PreparedTexts& texts;
  const exchange::Speech speeches[2];
  std::vector<Session*> forStatus, forSchema;  // sessions that registered for these events
};

}  // namespace reedchute::doors::cql

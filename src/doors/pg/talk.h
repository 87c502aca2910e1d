// PostgreSQL towards the clients: simple queries, one answer after the other.
#pragma once

#include "doors/pg/take_in.h"
#include "peers/clients.h"

namespace reedchute::doors::pg {

class Door : public peers::Door {
 public:
  // `speech`: the row of the stores' table in which its statements travel.
  Door(sched::Scheduler& s, exchange::Desk& d, TakeIn t, exchange::Speech in)
      : scheduler(s), desk(d), takeIn(t), speech(in) {}

  std::unique_ptr<peers::Talk> talk(peers::Line& line) override;
  std::size_t mostMessage() const override;

  sched::Scheduler& scheduler;
  exchange::Desk& desk;
  const TakeIn takeIn;
  const exchange::Speech speech;
};

}  // namespace reedchute::doors::pg

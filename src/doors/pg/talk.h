// PostgreSQL towards the clients: simple queries, answered in their order.
#pragma once

#include "doors/pg/take_in.h"
#include "peers/clients.h"

namespace reedchute::doors::pg {

// What one client may have in hand at a time, and how many bytes of answers may wait for their turn, of all clients.
struct Pipeline {
  std::size_t statements = 1, bytes = 0;
};

class Door : public peers::Door {
 public:
  // `speech`: the row of the stores' table in which its statements travel.
  Door(sched::Scheduler& s, exchange::Desk& d, TakeIn t, exchange::Speech in, Pipeline p)
      : scheduler(s), desk(d), takeIn(t), speech(in), pipeline(p) {}

  std::unique_ptr<peers::Talk> talk(peers::Line& line) override;
  std::size_t mostMessage() const override;

  sched::Scheduler& scheduler;
  exchange::Desk& desk;
  const TakeIn takeIn;
  const exchange::Speech speech;
  const Pipeline pipeline;
  std::size_t kept = 0;  // bytes of answers that wait for their turn
};

}  // namespace reedchute::doors::pg

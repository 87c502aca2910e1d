// PostgreSQL towards the stores: a connection carries one job at a time.
#pragma once

#include "peers/stores.h"

namespace reedchute::doors::pg {

class Voice : public exchange::Voice {
 public:
  std::unique_ptr<exchange::Carrier> carrier(peers::Stores& stores, int store, exchange::Speech speech,
                                             int fd) override;
  std::size_t atOnce() const override { return 1; }
};

}  // namespace reedchute::doors::pg

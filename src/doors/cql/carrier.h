// The Cassandra protocol towards the stores: a connection carries many jobs at once, each on a stream of its own.
#pragma once

#include <map>

#include "doors/cql/given.h"
#include "doors/cql/prepared.h"
#include "peers/stores.h"

namespace reedchute::doors::cql {

class Voice : public exchange::Voice {
 public:
  Voice(const Given& given, int version, StorePrepared::Room& room) : given_(given), version_(version), room_(room) {}

  std::unique_ptr<exchange::Carrier> carrier(peers::Stores& stores, int store, exchange::Speech speech,
                                             int fd) override;
  std::size_t atOnce() const override { return given_.storeStreams; }
  void forget(int store) override { known_.erase(store); }

  // What is known of one store, over all connections to it.
  struct Known {
    Known(StorePrepared::Room& room, double most) : prepared(room), pace(most) {}
    StorePrepared prepared;
    PreparePace pace;
  };
  Known& known(int store);
  const Given& given() const { return given_; }
  int version() const { return version_; }

 private:
  const Given& given_;
  const int version_;
  StorePrepared::Room& room_;
  std::map<int, Known> known_;
};

}  // namespace reedchute::doors::cql

// The table of the protocols that the front speaks. Each has its folder under src/doors; another one is a folder and
// a row more.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/index.h"
#include "exchange/exchange.h"
#include "front/given.h"
#include "peers/clients.h"
#include "peers/stores.h"

namespace reedchute::front {

// What a protocol's unit stands on.
struct Ground {
  sched::Scheduler& scheduler;
  exchange::Desk& desk;
  peers::Stores& stores;
  const Index<std::string>& storeIds;
  const Index<std::int64_t>& groups;
  const exchange::OpenIds& openIds;
};

class Protocol {
 public:
  virtual ~Protocol() = default;
  virtual const char* name() const = 0;
  virtual peers::Door& door() = 0;
  virtual sockaddr_in listen() const = 0;
  virtual void listening(int /*port*/) {}
  virtual std::size_t connections() const { return 0; }  // that its clients may hold; 0: what the others leave
  virtual std::vector<exchange::Speech> speeches() const = 0;
  virtual bool probes() const = 0;  // is it the one in which stores are probed?
  // Where a store is spoken to in it.
  virtual std::optional<sockaddr_in> addressOf(const peers::Member& m) const = 0;
  virtual void leaving() {}  // clients are to go elsewhere from now on
};

// By the given settings; the first is PostgreSQL. Adds its speeches to the stores' table.
std::vector<std::unique_ptr<Protocol>> protocolsOf(Given& given, const Ground& ground);

}  // namespace reedchute::front

// Stage 1, take in, for PostgreSQL: from the text of a query to what the module is told of it, or to what is wrong with it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/index.h"
#include "rules.h"
#include "exchange/exchange.h"
#include "sched/wall_clock.h"
#include "terms/terms.h"

namespace reedchute::doors::pg {

// A statement's text as it came, and where the digits of `d` stand.
struct Query : exchange::Request {
  std::size_t size() const override { return text.size(); }
  std::string text;
  std::size_t waitAt = 0, waitSize = 0;
};

class TakeIn {
 public:
  TakeIn(const Terms& terms, const Names& names, const Index<std::int64_t>& groups, const exchange::OpenIds& openIds)
      : terms_(terms), names_(names), groups_(groups), openIds_(openIds) {}

  // Either fills `taken`, or returns the whole answer that the client gets at once.
  std::optional<std::string> read(std::string_view text, TimePoint now, const sched::WallClock& wall,
                                  exchange::Taken& taken) const;

  bool writes(int workload) const {
    return terms_.workloads[static_cast<std::size_t>(workload)].level == Level::write;
  }

 private:
  const Terms& terms_;
  const Names& names_;
  const Index<std::int64_t>& groups_;
  const exchange::OpenIds& openIds_;
};

}  // namespace reedchute::doors::pg

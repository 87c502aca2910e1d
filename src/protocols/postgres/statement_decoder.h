// Stage 1, take in, for PostgreSQL: from the text of a query to what the module is told of it, or
// to what is wrong with it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/id_index.h"
#include "config/engine_settings.h"
#include "decision/engine.h"
#include "request/open_statement_ids.h"
#include "request/received_statement.h"
#include "runtime/wall_clock.h"

namespace reedchute::protocols::postgres {

// A statement's text as it came, and where the digits of `d` stand.
struct Query : request::StatementPayload {
  std::size_t size() const override { return text.size(); }
  std::string text;
  std::size_t waitAt = 0, waitSize = 0;
};

class TakeIn {
 public:
  TakeIn(const EngineSettings& terms, const Names& names, const IdIndex<std::int64_t>& groups,
         const request::OpenStatementIds& openIds)
      : terms_(terms), names_(names), groups_(groups), openIds_(openIds) {}

  // Either fills `taken`, or returns the whole answer that the client gets at once.
  std::optional<std::string> read(std::string_view text, TimePoint now,
                                  const runtime::WallClock& wall,
                                  request::ReceivedStatement& taken) const;

  bool writes(int workload) const {
    return terms_.workloads[static_cast<std::size_t>(workload)].level == Level::write;
  }

 private:
  const EngineSettings& terms_;
  const Names& names_;
  const IdIndex<std::int64_t>& groups_;
  const request::OpenStatementIds& openIds_;
};

}  // namespace reedchute::protocols::postgres

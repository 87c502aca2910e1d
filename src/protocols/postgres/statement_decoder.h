// Decodes the text of a PostgreSQL query into a statement for the decision engine, or into an error
// response. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/id_index.h"
#include "config/engine_settings.h"
#include "decision/engine.h"
#include "request/open_statement_ids.h"
#include "request/received_statement.h"
#include "runtime/wall_clock.h"

namespace reedchute::protocols::postgres {

// A statement's text as received, and the position of the digits of its timeout (field `d`).
struct Query : request::StatementPayload {
  std::size_t size() const override { return text.size(); }
  std::string text;
  std::size_t timeoutOffset = 0, timeoutSize = 0;  // bytes
};

// The complete response to a query that is not forwarded to a store.
struct ImmediateReply {
  std::string bytes;
};

// The references passed to the constructor must outlive the decoder.
class StatementDecoder {
 public:
  StatementDecoder(const EngineSettings& settings, const Names& names,
                   const IdIndex<std::int64_t>& groups, const request::OpenStatementIds& openIds)
      : settings_(settings), names_(names), groups_(groups), openIds_(openIds) {}

  // Returns the statement, or the response to an empty or invalid query. `now` and `wall`
  // convert the field `after` to the time since the client's last write. The caller sets the
  // statement's version and receivedAt.
  std::variant<request::ReceivedStatement, ImmediateReply> decode(
      std::string_view text, TimePoint now, const runtime::WallClock& wall) const;

  // `workload`: index of a workload.
  bool isWrite(int workload) const {
    return settings_.workloads[static_cast<std::size_t>(workload)].level == Level::write;
  }

 private:
  const EngineSettings& settings_;
  const Names& names_;
  const IdIndex<std::int64_t>& groups_;
  const request::OpenStatementIds& openIds_;
};

}  // namespace reedchute::protocols::postgres

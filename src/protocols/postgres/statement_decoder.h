// Decodes a query of the PostgreSQL protocol: from its text to what the decision engine is told of
// it, or to what is wrong with it. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/id_index.h"
#include "config/engine_settings.h"
#include "decision/engine.h"
#include "request/request.h"
#include "runtime/wall_clock.h"

namespace reedchute::protocols::postgres {

// A statement's text as it came, and where the digits of its time limit stand in it.
struct Query : request::StatementPayload {
  std::size_t size() const override { return text.size(); }
  std::string text;
  std::size_t waitOffset = 0, waitSize = 0;  // bytes
};

// The whole response to a query that is not sent on.
struct ImmediateReply {
  std::string bytes;
};

class StatementDecoder {
 public:
  StatementDecoder(const EngineSettings& settings, const Names& names,
                   const IdIndex<std::int64_t>& groups, const request::OpenIds& openIds)
      : settings_(settings), names_(names), groups_(groups), openIds_(openIds) {}

  // The caller fills in version and time of arrival.
  std::variant<request::ReceivedStatement, ImmediateReply> decode(
      std::string_view text, TimePoint now, const runtime::WallClock& wall) const;

  bool isWrite(int workload) const {
    return settings_.workloads[static_cast<std::size_t>(workload)].level == Level::write;
  }

 private:
  const EngineSettings& settings_;
  const Names& names_;
  const IdIndex<std::int64_t>& groups_;
  const request::OpenIds& openIds_;
};

}  // namespace reedchute::protocols::postgres

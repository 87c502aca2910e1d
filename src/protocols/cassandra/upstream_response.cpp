#include "protocols/cassandra/upstream_response.h"

#include <optional>

#include "log/log.h"
#include "protocols/cassandra/error_outcomes.h"
#include "request/store_report.h"

namespace reedchute::protocols::cassandra {

namespace cql = reedchute::cql;
using cql::Frame;
using cql::Opcode;
using cql::Reply;

void readStoreState(const cql::BytesMap& payload, request::UpstreamRequest& request,
                    WallTime newest) {
  request.statedPosition.reset();
  for (const auto& [name, value] : payload) {
    if (name == "server_role") request.role = request::parseStoreRole(value);
    if (name == "usage") request.report = request::parseStoreReport(value, newest);
    if (name == "commit_clock") {
      request.statedPosition = request::parseStorePosition(value, request::kLatestPosition);
      if (request.statedPosition && *request.statedPosition <= newest)
        request.position = request.statedPosition;
    }
  }
}

AttemptOutcome outcomeOfPreparation(const Frame& frame, const Reply& reply) {
  if (frame.opcode != Opcode::error) return AttemptOutcome::malformedResponse;
  AttemptOutcome outcome = outcomeOf(reply.code, cql::valueOf(reply.payload, "turned"));
  return outcome == AttemptOutcome::error ? AttemptOutcome::overloaded : outcome;
}

AttemptOutcome outcomeOfProbe(const Frame& frame, const Reply& reply,
                              request::UpstreamRequest& request, WallTime newest) {
  if (frame.opcode == Opcode::error) return outcomeOf(reply.code, {});
  cql::Multimap options;
  if (frame.opcode != Opcode::supported || !cql::readMultimap(frame.body, options))
    return AttemptOutcome::malformedResponse;
  for (const auto& [name, values] : options)
    if (name == "USAGE" && !values.empty())
      request.report = request::parseStoreReport(values.front(), newest);
  return AttemptOutcome::ok;
}

AttemptOutcome outcomeOfStatement(const Frame& frame, const Reply& reply,
                                  const Statement& statement, int store) {
  if (frame.opcode == Opcode::error) {
    AttemptOutcome outcome = outcomeOf(reply.code, cql::valueOf(reply.payload, "turned"));
    if (outcome == AttemptOutcome::error || outcome == AttemptOutcome::invalid)
      log::line("store_error", "store=%d code=%04x", store, static_cast<unsigned>(reply.code));
    return outcome;
  }
  if (frame.opcode != Opcode::result) return AttemptOutcome::malformedResponse;
  bool hasExpectedKind = statement.opcode != Opcode::prepare ||
                         reply.kind == cql::ResultKind::prepared;
  return hasExpectedKind ? AttemptOutcome::ok : AttemptOutcome::malformedResponse;
}

void setResponse(request::UpstreamRequest& request, const Frame& frame, std::uint8_t flags) {
  request.response.bytes = frame.body;
  request.response.frameHeader = static_cast<unsigned>(flags) << 8 |
                                 static_cast<unsigned>(frame.opcode);
}

}  // namespace reedchute::protocols::cassandra

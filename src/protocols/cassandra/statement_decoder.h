// Decodes a QUERY, PREPARE, EXECUTE or BATCH of the Cassandra protocol: from a frame to a statement
// for the pipeline, or to an answer that is ready at once, which may be an error. No I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "codec/cql/reply.h"
#include "codec/cql/request.h"
#include "protocols/cassandra/paging_state.h"
#include "protocols/cassandra/prepared_statements.h"
#include "protocols/cassandra/system_tables.h"
#include "protocols/cassandra/table_mapping.h"
#include "request/open_statement_ids.h"
#include "request/received_statement.h"
#include "runtime/wall_clock.h"

namespace reedchute::protocols::cassandra {

// A statement's body as it came, and the places where an attempt puts something else.
struct Statement : request::StatementPayload {
  enum class Replacement { timeLeft, preparedId, bytes };
  struct Patch {
    std::size_t offset = 0;  // in `body`
    std::size_t size = 0;    // bytes that are replaced, with the length before them
    Replacement replacement = Replacement::bytes;
    PreparedRef text;   // of a `preparedId`: the text whose id at the store is put here
    std::string bytes;  // of `bytes`: what is put here
  };
  std::size_t size() const override { return body.size(); }

  reedchute::cql::Opcode opcode = reedchute::cql::Opcode::query;
  std::uint8_t flags = 0;
  std::string body;
  std::vector<Patch> patches;              // by ascending offset
  std::string preparedId;                  // of a PREPARE: the id that clients will know it by
  std::vector<PreparedRef> requiredTexts;  // that a store must have prepared first, each once
};

// The body for one store. `ids` holds the store's id of each of `requiredTexts`, in their order.
std::string encodeBody(const Statement& statement, std::int64_t timeLeftMs,
                       const std::vector<std::string>& ids);

// What a session must know of a statement until its answer.
struct Pending {
  reedchute::cql::Kind kind = reedchute::cql::Kind::other;
  std::uint8_t batchType = 0;
  std::uint16_t consistency = 0;
  std::optional<PreparedText> preparing;  // of a PREPARE
  TimePoint until;                        // when its client stops waiting
};

// What a frame decodes to: a statement, or where there is none a complete answer.
struct DecodeResult {
  std::optional<request::ReceivedStatement> statement;
  Pending pending;
  reedchute::cql::Opcode opcode = reedchute::cql::Opcode::error;
  std::string body;         // of the answer
  std::string useKeyspace;  // the session's keyspace from now on; empty: unchanged
};

class StatementDecoder {
 public:
  StatementDecoder(const Config& config, const Names& names, const IdIndex<std::int64_t>& groups,
                   const request::OpenStatementIds& openIds, const TableMapping& mapping,
                   PreparedTexts& texts)
      : config_(config),
        names_(names),
        groups_(groups),
        openIds_(openIds),
        mapping_(mapping),
        texts_(texts),
        system_(config) {}

  // `keyspace` is the session's. Errors are found in a fixed order; the first one is the answer.
  DecodeResult decode(const reedchute::cql::Frame& frame, const std::string& keyspace,
                      TimePoint now, const runtime::WallClock& wall) const;

 private:
  struct DecodeState;

  // Each of these either goes on with `state`, or gives it an answer.
  void decodeText(DecodeState& state, std::string_view text, std::size_t offset) const;
  void qualifyNames(DecodeState& state, std::string_view text, std::size_t offset,
                    reedchute::cql::ParsedText& read) const;
  void decodeQuery(DecodeState& state) const;
  void decodePrepare(DecodeState& state) const;
  void decodeExecute(DecodeState& state) const;
  void decodeBatch(DecodeState& state) const;
  void decodeBatchPart(DecodeState& state, const reedchute::cql::BatchStatement& part) const;
  void decodeByOpcode(DecodeState& state) const;
  void usePreparedText(DecodeState& state, std::string_view id, std::size_t offset) const;
  void decodePayload(DecodeState& state) const;
  void decodePaging(DecodeState& state) const;
  void mapStatement(DecodeState& state) const;

  void setSinceWrite(DecodeState& state) const;
  void finish(DecodeState& state) const;

  const Config& config_;
  const Names& names_;
  const IdIndex<std::int64_t>& groups_;
  const request::OpenStatementIds& openIds_;
  const TableMapping& mapping_;
  PreparedTexts& texts_;
  const SystemTables system_;
};

}  // namespace reedchute::protocols::cassandra

// Decodes a QUERY, PREPARE, EXECUTE or BATCH frame of the Cassandra protocol into a statement for
// the pipeline, or into an immediate response, which may be an error. No I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "codec/cql/reply.h"
#include "codec/cql/request.h"
#include "protocols/cassandra/paging_state.h"
#include "protocols/cassandra/prepared_statements.h"
#include "protocols/cassandra/store_hashes.h"
#include "protocols/cassandra/system_tables.h"
#include "protocols/cassandra/table_mapping.h"
#include "request/open_statement_ids.h"
#include "request/received_statement.h"
#include "runtime/wall_clock.h"

namespace reedchute::protocols::cassandra {

// A statement's body as received, and the patches that are applied to it before it is sent to a
// store.
struct Statement : request::StatementPayload {
  enum class Replacement { timeLeft, preparedId, bytes };
  // Replaces a range of `body`.
  struct Patch {
    std::size_t offset = 0;  // in `body`
    std::size_t size = 0;    // bytes that are replaced, including their length field
    Replacement replacement = Replacement::bytes;
    PreparedRef text;   // for `preparedId`: the text whose id at the store is inserted
    std::string bytes;  // for `bytes`: what is inserted, including a length field
  };
  std::size_t size() const override { return body.size(); }

  reedchute::cql::Opcode opcode = reedchute::cql::Opcode::query;
  std::uint8_t flags = 0;
  std::string body;
  std::vector<Patch> patches;  // in ascending order of offset
  std::string preparedId;      // of a PREPARE: the id that clients receive
  // Texts that a store must have prepared before it receives the statement, without duplicates.
  std::vector<PreparedRef> requiredTexts;
};

// Returns the body to send to one store. `timeLeftMs` is the time until the statement's deadline in
// milliseconds. `ids` contains the store's ids of `requiredTexts`, in the same order.
std::string encodeBody(const Statement& statement, std::int64_t timeLeftMs,
                       const std::vector<std::string>& ids);

// State that a session keeps for a statement until its response is sent.
struct Pending {
  reedchute::cql::Kind kind = reedchute::cql::Kind::other;
  std::uint8_t batchType = 0;
  std::uint16_t consistency = 0;
  std::optional<PreparedText> preparing;  // of a PREPARE
  // Of a later page: the position of the page before it.
  std::optional<WallTime> precedingPosition;
  TimePoint deadline;  // when the client stops waiting
};

// The result of decoding a frame. If `statement` is empty, `opcode` and `body` are a complete
// response.
struct DecodeResult {
  std::optional<request::ReceivedStatement> statement;
  Pending pending;
  reedchute::cql::Opcode opcode = reedchute::cql::Opcode::error;
  std::string body;         // of the response
  std::string useKeyspace;  // new keyspace of the session; empty: unchanged
};

// Stateless; decoding only updates the order of use in `texts` and the index in `storeHashes`. The
// references passed to the constructor must outlive the decoder.
class StatementDecoder {
 public:
  StatementDecoder(const Config& config, const Names& names, const IdIndex<std::int64_t>& groups,
                   const request::OpenStatementIds& openIds, const TableMapping& mapping,
                   PreparedTexts& texts, StoreHashes& storeHashes)
      : config_(config),
        names_(names),
        groups_(groups),
        openIds_(openIds),
        mapping_(mapping),
        texts_(texts),
        storeHashes_(storeHashes),
        system_(config) {}

  // `keyspace` is the session's. Checks are made in a fixed order; the response contains the first
  // error.
  DecodeResult decode(const reedchute::cql::Frame& frame, const std::string& keyspace,
                      TimePoint now, const runtime::WallClock& wall) const;

 private:
  struct DecodeState;

  // Each of these steps either updates `state` or sets its response, which ends the decoding.
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

  void setFreshness(DecodeState& state) const;
  void finish(DecodeState& state) const;

  const Config& config_;
  const Names& names_;
  const IdIndex<std::int64_t>& groups_;
  const request::OpenStatementIds& openIds_;
  const TableMapping& mapping_;
  PreparedTexts& texts_;
  StoreHashes& storeHashes_;
  const SystemTables system_;
};

}  // namespace reedchute::protocols::cassandra

// Stage 1, take in, for the Cassandra protocol: from a frame to what the module is told of it, to
// an answer that is ready at once, or to what is wrong with it. No I/O.
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

// A statement's body as it came, and the places where an execution puts something else.
struct Statement : request::StatementPayload {
  enum class Put { wait, id, bytes };
  struct Patch {
    std::size_t at = 0, span = 0;
    Put put = Put::bytes;
    PreparedRef text;   // whose id at the store
    std::string bytes;  // or these
  };
  std::size_t size() const override { return body.size(); }

  reedchute::cql::Opcode opcode = reedchute::cql::Opcode::query;
  std::uint8_t flags = 0;
  std::string body;
  std::vector<Patch> patches;              // in the order of their places
  std::string preparedId;                  // of a PREPARE: what clients will know it by
  std::vector<PreparedRef> requiredTexts;  // that a store must have prepared first, each once
};

// The body for one store. `ids`: that of each of `requiredTexts` there.
std::string encodeBody(const Statement& s, std::int64_t leftMs,
                       const std::vector<std::string>& ids);

// What a session must know of a statement until its answer.
struct Pending {
  reedchute::cql::Kind kind = reedchute::cql::Kind::other;
  std::uint8_t batchType = 0;
  std::uint16_t consistency = 0;
  std::optional<PreparedText> preparing;  // of a PREPARE
  TimePoint until;                        // that its client waits
};

// What a frame came to: a statement, or a whole answer.
struct DecodeResult {
  std::optional<request::ReceivedStatement> statement;
  Pending pending;
  reedchute::cql::Opcode opcode = reedchute::cql::Opcode::error;
  std::string body;         // of the answer
  std::string useKeyspace;  // the session's from now on; empty: as it was
};

class StatementDecoder {
 public:
  StatementDecoder(const Config& config, const Names& names, const IdIndex<std::int64_t>& groups,
                   const request::OpenStatementIds& openIds, const TableMapping& chart,
                   PreparedTexts& texts)
      : config_(config),
        names_(names),
        groups_(groups),
        openIds_(openIds),
        chart_(chart),
        texts_(texts),
        system_(config) {}

  DecodeResult decode(const reedchute::cql::Frame& f, const std::string& keyspace, TimePoint now,
                      const runtime::WallClock& wall) const;

 private:
  struct Reading;
  void readOne(Reading& r, std::string_view text, std::size_t at, std::string_view keyspace,
               Statement& into) const;
  void query(Reading& r) const;
  void prepare(Reading& r) const;
  void execute(Reading& r) const;
  void batch(Reading& r) const;
  void payload(Reading& r) const;
  void finish(Reading& r) const;

  const Config& config_;
  const Names& names_;
  const IdIndex<std::int64_t>& groups_;
  const request::OpenStatementIds& openIds_;
  const TableMapping& chart_;
  PreparedTexts& texts_;
  const SystemTables system_;
};

}  // namespace reedchute::protocols::cassandra

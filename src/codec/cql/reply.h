// Bodies of the replies of the Cassandra native protocol: validates those of servers and extracts
// what routing needs, and encodes those that the proxy sends itself.
//
// All functions are pure: no I/O and no state. Views in results point into the frame's body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "codec/cql/wire.h"

namespace reedchute::cql {

// The kinds of a RESULT, with their values on the wire.
enum class ResultKind { voidResult = 1, rows, setKeyspace, prepared, schemaChange };

// A decoded reply. Offsets count from the start of the frame's body, in bytes.
struct Reply {
  BytesMap payload;        // the custom payload
  std::size_t bodyAt = 0;  // offset behind tracing id, warnings and custom payload

  // Of an ERROR.
  std::int32_t code = 0;
  std::string_view text;
  std::string_view writeType;   // of a write timeout or failure
  std::string_view unprepared;  // the id that the server doesn't know

  // Of a RESULT.
  ResultKind kind = ResultKind::voidResult;
  std::string_view keyspace;  // also of rows and prepared statements
  std::string_view table;     // of rows and prepared statements: the first that is named
  std::optional<std::string_view> pageState;
  std::size_t pageAt = 0;    // offset of the paging state, which includes its length field
  std::size_t pageSpan = 0;  // and its size
  std::int32_t rows = 0;
  std::int32_t columns = 0;

  // Of a prepared statement.
  std::string_view id;
  std::string_view resultId;  // version 5
  std::size_t idAt = 0;       // offset of the id's length field
  std::int32_t markers = 0;   // bind markers
};

// Decodes a reply; false unless its body is valid up to its last byte. A truncated reply, or one
// with wrong counts, would reach the client as rows that don't exist. The bodies of opcodes other
// than ERROR and RESULT are not checked.
bool readReply(const Frame& frame, Reply& reply);

// The column types that the proxy's own replies use, with their ids on the wire.
enum class Type : std::uint16_t {
  varchar = 0x000d,
  boolean = 0x0004,
  integer = 0x0009,
  uuid = 0x000c,
  inet = 0x0010,
  setOfText = 0x0022,
  mapOfText = 0x0021,
};

// A column of a reply that the proxy encodes.
struct Column {
  std::string_view name;
  Type type = Type::varchar;
};

// Encodes a RESULT of rows. A cell is a serialized value, or nullopt for null.
std::string rowsBody(std::string_view keyspace, std::string_view table,
                     const std::vector<Column>& columns,
                     const std::vector<std::vector<std::optional<std::string>>>& rows);

// Encodes the RESULT of a USE statement.
std::string setKeyspaceBody(std::string_view keyspace);

// Serializes a value of type set<text>.
std::string textSet(const std::vector<std::string>& items);

// A [string multimap], as in SUPPORTED.
using Multimap = std::vector<std::pair<std::string, std::vector<std::string>>>;

// Encodes a body that is a [string multimap].
std::string multimapBody(const Multimap& map);

// Decodes one, appending to `into`; false unless the body is valid up to its last byte.
bool readMultimap(std::string_view body, Multimap& into);

// Encode EVENT bodies. `address` is an IPv4 address in network byte order.
std::string topologyEvent(std::string_view change, std::uint32_t address, std::uint16_t port);
std::string statusEvent(std::string_view change, std::uint32_t address, std::uint16_t port);

}  // namespace reedchute::cql

// What stores answer: read far enough to tell its kind, whether it is whole and sound to its last
// byte, and what it says about the store; and the answers that the front words itself. Views into
// the frame's body. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "codec/cql/wire.h"

namespace reedchute::cql {

enum class ResultKind { voidResult = 1, rows, setKeyspace, prepared, schemaChange };

struct Reply {
  BytesMap payload;
  std::size_t bodyAt = 0;  // where it begins, behind tracing id, warnings and custom payload
  // of an ERROR
  std::int32_t code = 0;
  std::string_view text, writeType, unprepared;
  // of a RESULT
  ResultKind kind = ResultKind::voidResult;
  std::string_view keyspace,
      table;  // of rows and prepared statements, where all columns share them
  std::optional<std::string_view> pageState;
  std::size_t pageAt = 0, pageSpan = 0;  // of it in the body, its length included
  std::int32_t rows = 0, columns = 0;
  std::string_view id, resultId;  // of a prepared statement
  std::size_t idAt = 0;           // where the id stands in the body, its length included
  std::int32_t markers = 0;
};

// False unless the body is valid to its last byte: a response cut short, or one with wrong counts,
// would reach the client as rows that don't exist.
bool readReply(const Frame& frame, Reply& reply);

// Columns of the answers that the front words itself.
enum class Type : std::uint16_t {
  varchar = 0x000d,
  boolean = 0x0004,
  integer = 0x0009,
  uuid = 0x000c,
  inet = 0x0010,
  setOfText = 0x0022,
  mapOfText = 0x0021,
};

struct Column {
  std::string_view name;
  Type type = Type::varchar;
};

// The body of a RESULT of rows; a cell is a value in its serialised form, or nothing for null.
std::string rowsBody(std::string_view keyspace, std::string_view table,
                     const std::vector<Column>& columns,
                     const std::vector<std::vector<std::optional<std::string>>>& rows);
std::string setKeyspaceBody(std::string_view keyspace);
std::string textSet(const std::vector<std::string>& items);

// A [string multimap], as SUPPORTED has it.
using Multimap = std::vector<std::pair<std::string, std::vector<std::string>>>;
std::string multimapBody(const Multimap& map);
bool readMultimap(std::string_view body, Multimap& into);

// EVENT bodies. `address` in network order.
std::string topologyEvent(std::string_view change, std::uint32_t address, std::uint16_t port);
std::string statusEvent(std::string_view change, std::uint32_t address, std::uint16_t port);

}  // namespace reedchute::cql

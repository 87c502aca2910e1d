// Response bodies of the Cassandra native protocol. Decodes and validates the responses of servers,
// as far as routing needs their fields, and encodes the responses that the proxy itself sends.
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

// A decoded response. Offsets are in bytes from the start of the frame's body.
struct Reply {
  BytesMap payload;            // the custom payload
  std::size_t bodyOffset = 0;  // offset after tracing id, warnings and custom payload

  // Set for an ERROR.
  std::int32_t code = 0;
  std::string_view text;
  std::string_view writeType;     // for a write timeout or failure
  std::string_view unpreparedId;  // for UNPREPARED: the id unknown to the server

  // Set for a RESULT.
  ResultKind kind = ResultKind::voidResult;
  std::string_view keyspace;  // for `setKeyspace`, `rows` and `prepared`
  std::string_view table;     // for `rows` and `prepared`: the first table named
  std::optional<std::string_view> pageState;
  std::size_t pageStateOffset = 0;  // offset of the paging state's length field
  std::size_t pageStateSize = 0;    // size of the paging state and its length field, in bytes
  std::int32_t rows = 0;
  std::int32_t columns = 0;

  // Set for a RESULT of kind `prepared`.
  std::string_view id;
  std::string_view resultId;  // from version 5 on
  std::size_t idOffset = 0;   // offset of the id's length field
  std::int32_t markers = 0;   // number of bind markers
};

// Decodes a response; false unless its body is valid to the last byte. The check is complete
// because a client would read a truncated response, or one with wrong counts, as rows that don't
// exist. The bodies of opcodes other than ERROR and RESULT aren't checked.
bool readReply(const Frame& frame, Reply& reply);

// The column types of responses that the proxy itself sends, with their ids on the wire.
enum class Type : std::uint16_t {
  varchar = 0x000d,
  boolean = 0x0004,
  integer = 0x0009,
  uuid = 0x000c,
  inet = 0x0010,
  setOfText = 0x0022,
  mapOfText = 0x0021,
};

// A column of a response that the proxy itself sends.
struct Column {
  std::string_view name;
  Type type = Type::varchar;
};

// Encodes the body of a RESULT of kind `rows`. A cell is a serialized value, or nullopt for null.
std::string rowsBody(std::string_view keyspace, std::string_view table,
                     const std::vector<Column>& columns,
                     const std::vector<std::vector<std::optional<std::string>>>& rows);

// Encodes the body of the RESULT of a USE statement.
std::string setKeyspaceBody(std::string_view keyspace);

// Serializes a value of type set<text>.
std::string textSet(const std::vector<std::string>& items);

// A [string multimap], as in SUPPORTED.
using Multimap = std::vector<std::pair<std::string, std::vector<std::string>>>;

// Encodes a body that is a [string multimap].
std::string multimapBody(const Multimap& map);

// Decodes a body that is a [string multimap], appending to `into`; false unless it is valid to its
// last byte.
bool readMultimap(std::string_view body, Multimap& into);

// Encode the bodies of EVENT frames. `address` is an IPv4 address in network byte order, `port` is
// in host byte order.
std::string topologyEvent(std::string_view change, std::uint32_t address, std::uint16_t port);
std::string statusEvent(std::string_view change, std::uint32_t address, std::uint16_t port);

}  // namespace reedchute::cql

// Decoders of client requests of the Cassandra native protocol. They extract the fields that
// routing needs, and the offsets of the fields that the proxy rewrites before it forwards a
// request.
//
// All functions are pure: no I/O and no state. Views in results point into the frame's body, and
// offsets are in bytes from its start.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "codec/cql/wire.h"

namespace reedchute::cql {

// The options of a STARTUP; empty if absent.
struct StartupOptions {
  std::string_view cqlVersion;
  std::string_view compression;
};

// Decodes a STARTUP; false unless it is valid to the last byte and contains a CQL version.
bool readStartup(std::string_view body, StartupOptions& into);

// The query parameters that follow the text of a QUERY or the ids of an EXECUTE.
struct Parameters {
  std::uint16_t consistency = 0;
  std::uint32_t flags = 0;
  std::int32_t pageSize = 0;  // rows; 0 if absent
  std::optional<std::string_view> pageState;
  std::size_t pageStateOffset = 0;  // offset of the paging state's length field; 0 if absent
  std::size_t pageStateSize = 0;    // bytes of the paging state and its length field; 0 if absent
  std::string_view keyspace;        // from version 5 on; empty if absent
  std::uint16_t values = 0;         // number of bound values
};

// The flag in `Parameters::flags` that announces a paging state.
inline constexpr std::uint32_t kHasPageState = 0x08;

// One statement of a BATCH.
struct BatchStatement {
  bool isPrepared = false;
  std::string_view text;   // the statement's text, or the id of a prepared statement
  std::size_t offset = 0;  // offset of the length field of the text or id
};

// A decoded QUERY, PREPARE, EXECUTE or BATCH.
struct StatementRequest {
  BytesMap payload;                // the custom payload
  std::size_t payloadSize = 0;     // size of the encoded payload, which starts the body, in bytes
  std::string_view text;           // for QUERY and PREPARE
  std::string_view id;             // for EXECUTE
  std::size_t idOffset = 0;        // offset of the id's length field
  std::string_view resultId;       // for EXECUTE, from version 5 on
  std::size_t resultIdOffset = 0;  // offset of the result id's length field
  Parameters parameters;
  std::uint8_t batchType = 0;                   // for BATCH: 0 logged, 1 unlogged, 2 counter
  std::vector<BatchStatement> batchStatements;  // for BATCH
};

// Decodes a QUERY, PREPARE, EXECUTE or BATCH. Returns false, with the reason in `why` (a static
// string), unless the body is valid to the last byte. A batch of more than `maxStatements`
// statements is rejected, because decoding it would block the thread for all clients.
bool readStatementRequest(const Frame& frame, std::size_t maxStatements, StatementRequest& into,
                          const char*& why);

// Decodes the event types of a REGISTER, appending to `into`; false unless the body is valid to the
// last byte.
bool readRegister(std::string_view body, std::vector<std::string_view>& into);

// The CQL name of a consistency level; "?" for an unknown one.
const char* consistencyName(std::uint16_t level);

}  // namespace reedchute::cql

// Decoders of client requests of the Cassandra native protocol, as far as routing needs them, with
// the offsets of what the proxy rewrites before it forwards a request.
//
// All functions are pure: no I/O and no state. Views in results point into the frame's body, and
// offsets count from its start, in bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "codec/cql/wire.h"

namespace reedchute::cql {

// The options of a STARTUP; empty where absent.
struct Start {
  std::string_view cqlVersion;
  std::string_view compression;
};

// Decodes a STARTUP; false unless it is valid up to its last byte and states a CQL version.
bool readStart(std::string_view body, Start& into);

// The query parameters that follow the text of a QUERY or the ids of an EXECUTE.
struct Parameters {
  std::uint16_t consistency = 0;
  std::uint32_t flags = 0;
  std::int32_t pageSize = 0;  // rows; 0: none requested
  std::optional<std::string_view> pageState;
  std::size_t pageAt = 0;     // offset of the paging state's length field; 0 without one
  std::size_t pageSpan = 0;   // size of the paging state and its length field; 0 without one
  std::string_view keyspace;  // version 5
  std::uint16_t values = 0;   // bound values
};

// The flag in `Parameters::flags` that announces a paging state.
inline constexpr std::uint32_t kHasPageState = 0x08;

// One statement of a BATCH.
struct Part {
  bool prepared = false;
  std::string_view text;  // or the id of a prepared statement
  std::size_t at = 0;     // offset of the length field of the text or id
};

// A decoded QUERY, PREPARE, EXECUTE or BATCH.
struct Asked {
  BytesMap payload;             // the custom payload
  std::size_t payloadSpan = 0;  // its size, at the start of the body
  std::string_view text;        // of a QUERY or PREPARE
  std::string_view id;          // of an EXECUTE
  std::size_t idAt = 0;         // offset of the id's length field
  std::string_view resultId;    // of an EXECUTE of version 5
  std::size_t resultIdAt = 0;   // offset of the result id's length field
  Parameters parameters;
  std::uint8_t batchType = 0;  // 0 logged, 1 unlogged, 2 counter
  std::vector<Part> parts;     // of a BATCH
};

// Decodes a QUERY, PREPARE, EXECUTE or BATCH; false, with the reason in `why`, unless it is valid
// up to its last byte. A batch of more than `mostParts` statements is invalid, as it would block
// the thread for all clients.
bool readAsked(const Frame& frame, std::size_t mostParts, Asked& into, const char*& why);

// Decodes the event types of a REGISTER, appending to `into`; false unless the body is valid up to
// its last byte.
bool readRegister(std::string_view body, std::vector<std::string_view>& into);

// The CQL name of a consistency level; "?" for an unknown one.
const char* consistencyName(std::uint16_t level);

}  // namespace reedchute::cql

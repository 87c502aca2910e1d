// What clients ask, as far as decisions need it, with the places of what is rewritten on its way to
// a store. Views into the frame's body. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "codec/cql/wire.h"

namespace reedchute::cql {

// STARTUP.
struct Start {
  std::string_view cqlVersion, compression;
};
bool readStart(std::string_view body, Start& into);

// The query parameters behind a QUERY's text and an EXECUTE's id.
struct Parameters {
  std::uint16_t consistency = 0;
  std::uint32_t flags = 0;
  std::int32_t pageSize = 0;  // 0: none asked
  std::optional<std::string_view> pageState;
  // Where [paging_state] stands in the body, its length included; both 0 where there is none.
  std::size_t pageAt = 0, pageSpan = 0;
  std::string_view keyspace;  // version 5
  std::uint16_t values = 0;
};

inline constexpr std::uint32_t kHasPageState = 0x08;

// A statement of a batch: its text or the id of a prepared one.
struct Part {
  bool prepared = false;
  std::string_view text;  // or id
  std::size_t at = 0;     // where an id stands in the body, its length included
};

// QUERY, PREPARE, EXECUTE and BATCH.
struct Asked {
  BytesMap payload;
  std::size_t payloadSpan = 0;  // bytes at the beginning of the body that are the custom payload
  std::string_view text;        // of a QUERY or PREPARE
  std::string_view id;          // of an EXECUTE
  std::size_t idAt = 0;         // where it stands in the body, its length included
  std::string_view resultId;    // of an EXECUTE of version 5
  std::size_t resultIdAt = 0;
  Parameters parameters;
  std::uint8_t batchType = 0;  // 0 logged, 1 unlogged, 2 counter
  std::vector<Part> parts;     // of a BATCH
};

// Reads the body of a QUERY, PREPARE, EXECUTE or BATCH. False, with the reason in `why`, unless it
// is valid to its last byte. A batch of more than `mostParts` statements is invalid, as it would
// hold the thread for all clients.
bool readAsked(const Frame& f, std::size_t mostParts, Asked& into, const char*& why);

// REGISTER's event types.
bool readRegister(std::string_view body, std::vector<std::string_view>& into);

// The name of a consistency level, as CQL has it; "?" where there is none such.
const char* consistencyName(std::uint16_t level);

}  // namespace reedchute::cql

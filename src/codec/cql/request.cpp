#include "codec/cql/request.h"

#include <array>

namespace reedchute::cql {
namespace {

enum ParameterFlag : std::uint32_t {
  kValues = 0x01,
  kPageSize = 0x04,
  kSerial = 0x10,
  kTimestamp = 0x20,
  kNamed = 0x40,
  kKeyspace = 0x80,
  kNow = 0x100,
};

constexpr std::uint32_t kKnownFlags4 = 0x7f;   // parameter flags of version 4
constexpr std::uint32_t kKnownFlags5 = 0x1ff;  // parameter flags of version 5
constexpr std::uint32_t kBatchForbiddenFlags = kValues | kPageSize | kHasPageState | kNamed;
constexpr std::uint32_t kPrepareWithKeyspace = 0x01;
constexpr std::uint8_t kLastBatchType = 2;  // counter
constexpr std::uint8_t kTextStatement = 0;
constexpr std::uint8_t kPreparedStatement = 1;
// The first versions with:
constexpr int kLongFlagsVersion = 5;  // parameter flags of four bytes, also in PREPARE
constexpr int kResultIdVersion = 5;   // an id of the result metadata in EXECUTE

std::size_t offsetIn(std::string_view body, const Cursor& cursor) {
  return body.size() - cursor.rest().size();
}

bool readFlags(Cursor& cursor, int version, std::uint32_t& flags) {
  if (version >= kLongFlagsVersion) {
    flags = static_cast<std::uint32_t>(cursor.fourBytes());
    return !(flags & ~kKnownFlags5);
  }
  flags = cursor.byte();
  return !(flags & ~kKnownFlags4);
}

enum class ValueNames { absent, present };

void skipValues(Cursor& cursor, std::uint16_t count, ValueNames names) {
  for (; count > 0 && cursor.good(); --count) {
    if (names == ValueNames::present) cursor.string();
    cursor.value();
  }
}

// Reads the parameters after the paging state, which QUERY, EXECUTE and BATCH have in common.
void readTrailingParameters(Cursor& cursor, Parameters& parameters) {
  if (parameters.flags & kSerial) cursor.twoBytes();
  if (parameters.flags & kTimestamp) cursor.eightBytes();
  if (parameters.flags & kKeyspace) parameters.keyspace = cursor.string();
  if (parameters.flags & kNow) cursor.fourBytes();
}

bool readParameters(std::string_view body, Cursor& cursor, int version, Parameters& parameters) {
  parameters.consistency = cursor.twoBytes();
  if (!readFlags(cursor, version, parameters.flags)) return false;
  if (parameters.flags & kValues) {
    parameters.values = cursor.twoBytes();
    skipValues(cursor, parameters.values,
               parameters.flags & kNamed ? ValueNames::present : ValueNames::absent);
  }
  if (parameters.flags & kPageSize) parameters.pageSize = cursor.fourBytes();
  if (parameters.flags & kHasPageState) {
    parameters.pageStateOffset = offsetIn(body, cursor);
    parameters.pageState = cursor.bytes();
    parameters.pageStateSize = offsetIn(body, cursor) - parameters.pageStateOffset;
  }
  readTrailingParameters(cursor, parameters);
  return cursor.good();
}

BatchStatement readBatchStatement(std::string_view body, Cursor& cursor) {
  std::uint8_t kind = cursor.byte();
  BatchStatement statement;
  statement.offset = offsetIn(body, cursor);
  statement.isPrepared = kind == kPreparedStatement;
  statement.text = statement.isPrepared ? cursor.shortBytes() : cursor.longString();
  if (kind != kTextStatement && kind != kPreparedStatement) cursor.fail();
  skipValues(cursor, cursor.twoBytes(), ValueNames::absent);
  return statement;
}

bool readBatch(std::string_view body, Cursor& cursor, int version, std::size_t maxStatements,
               StatementRequest& into, const char*& why) {
  into.batchType = cursor.byte();
  std::uint16_t count = cursor.twoBytes();
  if (into.batchType > kLastBatchType) {
    why = "an unknown batch type";
    return false;
  }
  if (count > maxStatements) {
    why = "a batch with too many statements";
    return false;
  }
  into.batchStatements.reserve(count);
  for (; count > 0 && cursor.good(); --count)
    into.batchStatements.push_back(readBatchStatement(body, cursor));
  into.parameters.consistency = cursor.twoBytes();
  if (!readFlags(cursor, version, into.parameters.flags)) return false;
  // Values can't be named: the flag that announces names comes after the values, so names and
  // values couldn't be told apart.
  if (into.parameters.flags & kBatchForbiddenFlags) return false;
  readTrailingParameters(cursor, into.parameters);
  return cursor.good();
}

bool readPrepare(Cursor& cursor, int version, StatementRequest& into) {
  into.text = cursor.longString();
  if (version < kLongFlagsVersion) return cursor.ended();
  auto flags = static_cast<std::uint32_t>(cursor.fourBytes());
  if (flags & ~kPrepareWithKeyspace) return false;
  if (flags & kPrepareWithKeyspace) into.parameters.keyspace = cursor.string();
  return cursor.ended();
}

bool readExecute(std::string_view body, Cursor& cursor, int version, StatementRequest& into) {
  into.idOffset = offsetIn(body, cursor);
  into.id = cursor.shortBytes();
  if (version >= kResultIdVersion) {
    into.resultIdOffset = offsetIn(body, cursor);
    into.resultId = cursor.shortBytes();
  }
  return readParameters(body, cursor, version, into.parameters) && cursor.ended();
}

}  // namespace

bool readStartup(std::string_view body, StartupOptions& into) {
  Cursor cursor(body);
  for (std::uint16_t left = cursor.twoBytes(); left > 0 && cursor.good(); --left) {
    std::string_view name = cursor.string();
    std::string_view value = cursor.string();
    if (name == "CQL_VERSION") into.cqlVersion = value;
    if (name == "COMPRESSION") into.compression = value;
  }
  return cursor.ended() && !into.cqlVersion.empty();
}

bool readStatementRequest(const Frame& frame, std::size_t maxStatements, StatementRequest& into,
                          const char*& why) {
  why = "the request body is malformed";
  Cursor cursor(frame.body);
  if (frame.flags & kPayload) {
    if (!readBytesMap(cursor, into.payload)) return false;
    into.payloadSize = offsetIn(frame.body, cursor);
  }
  switch (frame.opcode) {
    case Opcode::query:
      into.text = cursor.longString();
      return readParameters(frame.body, cursor, frame.version, into.parameters) && cursor.ended();
    case Opcode::prepare:
      return readPrepare(cursor, frame.version, into);
    case Opcode::execute:
      return readExecute(frame.body, cursor, frame.version, into);
    case Opcode::batch:
      return readBatch(frame.body, cursor, frame.version, maxStatements, into, why) &&
             cursor.ended();
    default:
      return false;
  }
}

bool readRegister(std::string_view body, std::vector<std::string_view>& into) {
  Cursor cursor(body);
  for (std::uint16_t left = cursor.twoBytes(); left > 0 && cursor.good(); --left) {
    into.push_back(cursor.string());
  }
  return cursor.ended();
}

const char* consistencyName(std::uint16_t level) {
  static constexpr std::array kNames = {"ANY",    "ONE",          "TWO",          "THREE",
                                        "QUORUM", "ALL",          "LOCAL_QUORUM", "EACH_QUORUM",
                                        "SERIAL", "LOCAL_SERIAL", "LOCAL_ONE"};
  return level < kNames.size() ? kNames[level] : "?";
}

}  // namespace reedchute::cql

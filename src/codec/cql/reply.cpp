#include "codec/cql/reply.h"

namespace reedchute::cql {
namespace {

enum MetadataFlag : std::int32_t {
  kGlobalTable = 1,
  kMorePages = 2,
  kNoMetadata = 4,
  kChanged = 8
};

constexpr std::int32_t kKnownMetadataFlags = 0xf;
constexpr std::size_t kTracingIdSize = 16;  // bytes
constexpr std::size_t kKeyIndexSize = 2;    // bytes
constexpr std::size_t kInet4Size = 4;       // bytes
constexpr std::int32_t kNullCell = -1;      // the length of a null value
// The first versions whose responses contain:
constexpr int kFailureReasonsVersion = 5;  // the address and reason of each failed replica
constexpr int kCasContentionsVersion = 5;  // the number of contentions in a CAS write timeout
constexpr int kResultIdVersion = 5;        // an id of the result metadata
// Limits recursion, so that deeply nested types can't overflow the stack.
constexpr int kMaxTypeDepth = 16;

// The ids of column types that are followed by type parameters or names, and the last simple type.
enum TypeId : std::uint16_t {
  kCustomType = 0x0000,
  kLastSimpleType = 0x0015,
  kListType = 0x0020,
  kMapType = 0x0021,
  kSetType = 0x0022,
  kUserType = 0x0030,
  kTupleType = 0x0031,
};

std::size_t offsetIn(std::string_view body, const Cursor& cursor) {
  return body.size() - cursor.rest().size();
}

void skipStrings(Cursor& cursor, int count) {
  for (; count > 0 && cursor.good(); --count) cursor.string();
}

// Skips a [string list].
void skipStringList(Cursor& cursor) {
  skipStrings(cursor, cursor.twoBytes());
}

bool skipType(Cursor& cursor, int depth);

bool skipUserType(Cursor& cursor, int depth) {
  skipStrings(cursor, 2);  // keyspace and name
  for (std::uint16_t left = cursor.twoBytes(); left > 0; --left) {
    cursor.string();
    if (!skipType(cursor, depth + 1)) return false;
  }
  return cursor.good();
}

bool skipTupleType(Cursor& cursor, int depth) {
  for (std::uint16_t left = cursor.twoBytes(); left > 0; --left) {
    if (!skipType(cursor, depth + 1)) return false;
  }
  return cursor.good();
}

bool skipType(Cursor& cursor, int depth) {
  if (depth > kMaxTypeDepth) return false;
  std::uint16_t type = cursor.twoBytes();
  switch (type) {
    case kCustomType:
      cursor.string();
      return cursor.good();
    case kListType:
    case kSetType:
      return skipType(cursor, depth + 1);
    case kMapType:
      return skipType(cursor, depth + 1) && skipType(cursor, depth + 1);
    case kUserType:
      return skipUserType(cursor, depth);
    case kTupleType:
      return skipTupleType(cursor, depth);
    default:
      return cursor.good() && type <= kLastSimpleType;
  }
}

bool readColumns(Cursor& cursor, std::int32_t flags, std::int32_t count, Reply& reply) {
  bool hasGlobalTable = flags & kGlobalTable;
  if (hasGlobalTable) {
    reply.keyspace = cursor.string();
    reply.table = cursor.string();
  }
  for (; count > 0; --count) {
    if (!hasGlobalTable) {
      std::string_view keyspace = cursor.string();
      std::string_view table = cursor.string();
      if (reply.table.empty()) {
        reply.keyspace = keyspace;
        reply.table = table;
      }
    }
    cursor.string();
    if (!cursor.good() || !skipType(cursor, 0)) return false;
  }
  return cursor.good();
}

// The object that the metadata describes. Column count and paging state are stored in the reply
// only for `rows`; those of a prepared statement describe its later results.
enum class MetadataOf { rows, preparedStatement };

bool readMetadata(const Frame& frame, Cursor& cursor, Reply& reply, MetadataOf owner) {
  std::int32_t flags = cursor.fourBytes();
  std::int32_t columns = cursor.fourBytes();
  if (!cursor.good() || columns < 0 || flags & ~kKnownMetadataFlags) return false;
  if (owner == MetadataOf::rows) reply.columns = columns;
  if (flags & kMorePages) {
    std::size_t begin = offsetIn(frame.body, cursor);
    std::optional<std::string_view> state = cursor.bytes();
    if (owner == MetadataOf::rows) {
      reply.pageState = state;
      reply.pageStateOffset = begin;
      reply.pageStateSize = offsetIn(frame.body, cursor) - begin;
    }
  }
  if (flags & kChanged) {
    if (frame.version < kResultIdVersion) return false;
    cursor.shortBytes();
  }
  if (flags & kNoMetadata) return cursor.good();
  return readColumns(cursor, flags, columns, reply);
}

bool readRows(const Frame& frame, Cursor& cursor, Reply& reply) {
  if (!readMetadata(frame, cursor, reply, MetadataOf::rows)) return false;
  reply.rows = cursor.fourBytes();
  if (!cursor.good() || reply.rows < 0) return false;
  // Rows without columns have no bytes, so the end of the body wouldn't stop a loop over a large
  // stated count.
  if (reply.columns == 0) return reply.rows == 0 && cursor.ended();
  std::int64_t cells = std::int64_t{reply.rows} * reply.columns;
  for (; cells > 0 && cursor.good(); --cells) cursor.bytes();
  return cursor.ended();
}

bool readPrepared(const Frame& frame, Cursor& cursor, Reply& reply) {
  reply.idOffset = offsetIn(frame.body, cursor);
  reply.id = cursor.shortBytes();
  if (frame.version >= kResultIdVersion) reply.resultId = cursor.shortBytes();
  std::int32_t flags = cursor.fourBytes();
  reply.markers = cursor.fourBytes();
  std::int32_t keys = cursor.fourBytes();
  if (!cursor.good() || reply.markers < 0 || keys < 0 || reply.id.empty()) return false;
  cursor.take(kKeyIndexSize * static_cast<std::size_t>(keys));
  if (!cursor.good() || !readColumns(cursor, flags, reply.markers, reply)) return false;
  // A statement without bind markers has its table name only in the result metadata.
  return readMetadata(frame, cursor, reply, MetadataOf::preparedStatement) && cursor.ended();
}

bool readSchemaChange(Cursor& cursor) {
  cursor.string();  // the kind of change
  std::string_view target = cursor.string();
  cursor.string();  // the keyspace
  bool hasArguments = target == "FUNCTION" || target == "AGGREGATE";
  if (hasArguments || target == "TABLE" || target == "TYPE") cursor.string();
  if (hasArguments) skipStringList(cursor);
  return cursor.ended();
}

// Skips the consistency level, the number of replicas that responded and the number required.
void skipReplicaCounts(Cursor& cursor) {
  cursor.twoBytes();
  cursor.fourBytes();
  cursor.fourBytes();
}

// Skips the number of failed replicas and, from version 5 on, the address and reason of each.
void skipFailures(int version, Cursor& cursor) {
  std::int32_t failures = cursor.fourBytes();
  if (failures < 0) cursor.fail();
  if (version < kFailureReasonsVersion) return;
  for (; failures > 0 && cursor.good(); --failures) {
    std::uint8_t addressSize = cursor.byte();
    cursor.take(addressSize);
    cursor.twoBytes();
  }
}

void readWriteTimeout(int version, Cursor& cursor, Reply& reply) {
  skipReplicaCounts(cursor);
  reply.writeType = cursor.string();
  bool mayCountContentions = version >= kCasContentionsVersion && reply.writeType == "CAS";
  if (mayCountContentions && !cursor.rest().empty()) cursor.twoBytes();
}

// Reads the fields that follow an error's code and text.
void readErrorFields(int version, Cursor& cursor, Reply& reply) {
  switch (reply.code) {
    case kUnavailable:
    case kCasUnknown:
      skipReplicaCounts(cursor);
      break;
    case kWriteTimeout:
      readWriteTimeout(version, cursor, reply);
      break;
    case kReadTimeout:
      skipReplicaCounts(cursor);
      cursor.byte();
      break;
    case kReadFailure:
      skipReplicaCounts(cursor);
      skipFailures(version, cursor);
      cursor.byte();
      break;
    case kWriteFailure:
      skipReplicaCounts(cursor);
      skipFailures(version, cursor);
      reply.writeType = cursor.string();
      break;
    case kFunctionFailure:
      skipStrings(cursor, 2);  // keyspace and function
      skipStringList(cursor);
      break;
    case kAlreadyExists:
      skipStrings(cursor, 2);  // keyspace and table
      break;
    case kUnprepared:
      reply.unpreparedId = cursor.shortBytes();
      break;
    default:
      break;
  }
}

bool readError(const Frame& frame, Cursor& cursor, Reply& reply) {
  reply.code = cursor.fourBytes();
  reply.text = cursor.string();
  readErrorFields(frame.version, cursor, reply);
  return cursor.ended();
}

bool readResult(const Frame& frame, Cursor& cursor, Reply& reply) {
  reply.kind = static_cast<ResultKind>(cursor.fourBytes());
  switch (reply.kind) {
    case ResultKind::voidResult:
      return cursor.ended();
    case ResultKind::rows:
      return readRows(frame, cursor, reply);
    case ResultKind::setKeyspace:
      reply.keyspace = cursor.string();
      return cursor.ended();
    case ResultKind::prepared:
      return readPrepared(frame, cursor, reply);
    case ResultKind::schemaChange:
      return readSchemaChange(cursor);
    default:
      return false;
  }
}

}  // namespace

bool readReply(const Frame& frame, Reply& reply) {
  Cursor cursor(frame.body);
  if (frame.flags & kTracing) cursor.take(kTracingIdSize);
  if (frame.flags & kWarnings) skipStringList(cursor);
  if (frame.flags & kPayload && !readBytesMap(cursor, reply.payload)) return false;
  if (!cursor.good()) return false;
  reply.bodyOffset = offsetIn(frame.body, cursor);
  if (frame.opcode == Opcode::error) return readError(frame, cursor, reply);
  if (frame.opcode == Opcode::result) return readResult(frame, cursor, reply);
  return true;
}

namespace {

void addType(std::string& body, Type type) {
  auto addId = [&](Type id) { addShort(body, static_cast<std::uint16_t>(id)); };
  addId(type);
  if (type == Type::setOfText) addId(Type::varchar);
  if (type == Type::mapOfText) {
    addId(Type::varchar);
    addId(Type::varchar);
  }
}

void addCell(std::string& body, const std::optional<std::string>& cell) {
  if (cell) {
    addBytes(body, *cell);
  } else {
    addInt(body, kNullCell);
  }
}

}  // namespace

std::string rowsBody(std::string_view keyspace, std::string_view table,
                     const std::vector<Column>& columns,
                     const std::vector<std::vector<std::optional<std::string>>>& rows) {
  std::string body;
  addInt(body, static_cast<std::int32_t>(ResultKind::rows));
  addInt(body, kGlobalTable);
  addInt(body, static_cast<std::int32_t>(columns.size()));
  addString(body, keyspace);
  addString(body, table);
  for (const Column& column : columns) {
    addString(body, column.name);
    addType(body, column.type);
  }
  addInt(body, static_cast<std::int32_t>(rows.size()));
  for (const auto& row : rows) {
    for (const auto& cell : row) addCell(body, cell);
  }
  return body;
}

std::string setKeyspaceBody(std::string_view keyspace) {
  std::string body;
  addInt(body, static_cast<std::int32_t>(ResultKind::setKeyspace));
  addString(body, keyspace);
  return body;
}

std::string textSet(const std::vector<std::string>& items) {
  std::string value;
  addInt(value, static_cast<std::int32_t>(items.size()));
  for (const std::string& item : items) addBytes(value, item);
  return value;
}

std::string multimapBody(const Multimap& map) {
  std::string body;
  addShort(body, static_cast<std::uint16_t>(map.size()));
  for (const auto& [name, values] : map) {
    addString(body, name);
    addShort(body, static_cast<std::uint16_t>(values.size()));
    for (const std::string& value : values) addString(body, value);
  }
  return body;
}

namespace {

std::vector<std::string> readStringList(Cursor& cursor) {
  std::vector<std::string> strings;
  std::uint16_t left = cursor.twoBytes();
  for (; left > 0 && cursor.good(); --left) strings.emplace_back(cursor.string());
  return strings;
}

}  // namespace

bool readMultimap(std::string_view body, Multimap& into) {
  Cursor cursor(body);
  for (std::uint16_t left = cursor.twoBytes(); left > 0 && cursor.good(); --left) {
    std::string name(cursor.string());
    into.emplace_back(std::move(name), readStringList(cursor));
  }
  return cursor.ended();
}

namespace {

std::string eventBody(std::string_view type, std::string_view change, std::uint32_t address,
                      std::uint16_t port) {
  std::string body;
  addString(body, type);
  addString(body, change);
  addByte(body, kInet4Size);
  body.append(reinterpret_cast<const char*>(&address), kInet4Size);
  addInt(body, port);
  return body;
}

}  // namespace

std::string topologyEvent(std::string_view change, std::uint32_t address, std::uint16_t port) {
  return eventBody("TOPOLOGY_CHANGE", change, address, port);
}

std::string statusEvent(std::string_view change, std::uint32_t address, std::uint16_t port) {
  return eventBody("STATUS_CHANGE", change, address, port);
}

}  // namespace reedchute::cql

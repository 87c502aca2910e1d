#include "codec/cql/reply.h"

namespace reedchute::cql {
namespace {

enum MetadataFlag : std::int32_t {
  kGlobalTable = 1,
  kMorePages = 2,
  kNoMetadata = 4,
  kChanged = 8
};
constexpr int kMostNested = 16;  // danger: types nested without end would use up the stack

std::size_t at(std::string_view body, const Cursor& c) {
  return body.size() - c.rest().size();
}

bool readType(Cursor& c, int depth) {
  if (depth > kMostNested) return false;
  std::uint16_t type = c.twoBytes();
  switch (type) {
    case 0x0000:
      c.string();
      return c.good();
    case 0x0020:
    case 0x0022:
      return readType(c, depth + 1);
    case 0x0021:
      return readType(c, depth + 1) && readType(c, depth + 1);
    case 0x0030: {
      c.string(), c.string();
      for (std::uint16_t n = c.twoBytes(); n > 0; --n) {
        c.string();
        if (!readType(c, depth + 1)) return false;
      }
      return c.good();
    }
    case 0x0031: {
      for (std::uint16_t n = c.twoBytes(); n > 0; --n)
        if (!readType(c, depth + 1)) return false;
      return c.good();
    }
    default:
      return c.good() && type <= 0x0015;
  }
}

bool readColumns(Cursor& c, std::int32_t flags, std::int32_t n, Reply& r) {
  if (flags & kGlobalTable) r.keyspace = c.string(), r.table = c.string();
  for (; n > 0; --n) {
    if (!(flags & kGlobalTable)) {
      std::string_view keyspace = c.string(), table = c.string();
      if (r.table.empty()) r.keyspace = keyspace, r.table = table;
    }
    c.string();
    if (!c.good() || !readType(c, 0)) return false;
  }
  return c.good();
}

// `own`: of the rows that follow it, not of a statement that is being prepared.
bool readMetadata(const Frame& f, Cursor& c, Reply& r, bool own) {
  std::int32_t flags = c.fourBytes(), columns = c.fourBytes();
  if (!c.good() || columns < 0 || flags & ~0xf) return false;
  if (own) r.columns = columns;
  if (flags & kMorePages) {
    std::size_t from = at(f.body, c);
    auto state = c.bytes();
    if (own) r.pageState = state, r.pageAt = from, r.pageSpan = at(f.body, c) - from;
  }
  if (flags & kChanged) {
    if (f.version < 5) return false;
    c.shortBytes();
  }
  if (flags & kNoMetadata) return c.good();
  return readColumns(c, flags, columns, r);
}

bool readRows(const Frame& f, Cursor& c, Reply& r) {
  if (!readMetadata(f, c, r, true)) return false;
  r.rows = c.fourBytes();
  if (!c.good() || r.rows < 0) return false;
  // Rows without columns take no bytes, so a large count alone would keep this loop busy.
  if (r.columns == 0) return r.rows == 0 && c.ended();
  for (std::int64_t n = std::int64_t{r.rows} * r.columns; n > 0 && c.good(); --n) c.bytes();
  return c.ended();
}

bool readPrepared(const Frame& f, Cursor& c, Reply& r) {
  r.idAt = at(f.body, c);
  r.id = c.shortBytes();
  if (f.version >= 5) r.resultId = c.shortBytes();
  std::int32_t flags = c.fourBytes();
  r.markers = c.fourBytes();
  std::int32_t keys = c.fourBytes();
  if (!c.good() || r.markers < 0 || keys < 0 || r.id.empty()) return false;
  c.take(2 * static_cast<std::size_t>(keys));
  if (!c.good() || !readColumns(c, flags, r.markers, r)) return false;
  // What it gives back names the table where no marker does.
  return readMetadata(f, c, r, false) && c.ended();
}

bool readChange(Cursor& c) {
  c.string();
  std::string_view target = c.string();
  c.string();
  if (target == "TABLE" || target == "TYPE" || target == "FUNCTION" || target == "AGGREGATE")
    c.string();
  if (target == "FUNCTION" || target == "AGGREGATE")
    for (std::uint16_t n = c.twoBytes(); n > 0 && c.good(); --n) c.string();
  return c.ended();
}

bool readError(const Frame& f, Cursor& c, Reply& r) {
  r.code = c.fourBytes();
  r.text = c.string();
  auto answers = [&] { c.twoBytes(), c.fourBytes(), c.fourBytes(); };
  // How many failed; version 5 says who and why.
  auto failures = [&] {
    std::int32_t n = c.fourBytes();
    if (n < 0) c.fail();
    for (; f.version >= 5 && n > 0 && c.good(); --n) c.take(c.byte()), c.twoBytes();
  };
  switch (r.code) {
    case kUnavailable:
    case kCasUnknown:
      answers();
      break;
    case kWriteTimeout:
      answers();
      r.writeType = c.string();
      if (f.version >= 5 && r.writeType == "CAS" && !c.rest().empty()) c.twoBytes();
      break;
    case kReadTimeout:
      answers();
      c.byte();
      break;
    case kReadFailure:
      answers(), failures();
      c.byte();
      break;
    case kWriteFailure:
      answers(), failures();
      r.writeType = c.string();
      break;
    case kFunctionFailure:
      c.string(), c.string();
      for (std::uint16_t n = c.twoBytes(); n > 0 && c.good(); --n) c.string();
      break;
    case kAlreadyExists:
      c.string(), c.string();
      break;
    case kUnprepared:
      r.unprepared = c.shortBytes();
      break;
    default:
      break;
  }
  return c.ended();
}

}  // namespace

bool readReply(const Frame& frame, Reply& reply) {
  Cursor cursor(frame.body);
  if (frame.flags & kTracing) cursor.take(16);
  if (frame.flags & kWarnings)
    for (std::uint16_t n = cursor.twoBytes(); n > 0 && cursor.good(); --n) cursor.string();
  if (frame.flags & kPayload && !readBytesMap(cursor, reply.payload)) return false;
  if (!cursor.good()) return false;
  reply.bodyAt = at(frame.body, cursor);
  if (frame.opcode == Opcode::error) return readError(frame, cursor, reply);
  if (frame.opcode != Opcode::result) return true;
  std::int32_t kind = cursor.fourBytes();
  reply.kind = static_cast<ResultKind>(kind);
  switch (kind) {
    case 1:
      return cursor.ended();
    case 2:
      return readRows(frame, cursor, reply);
    case 3:
      reply.keyspace = cursor.string();
      return cursor.ended();
    case 4:
      return readPrepared(frame, cursor, reply);
    case 5:
      return readChange(cursor);
    default:
      return false;
  }
}

std::string rowsBody(std::string_view keyspace, std::string_view table,
                     const std::vector<Column>& columns,
                     const std::vector<std::vector<std::optional<std::string>>>& rows) {
  std::string body;
  addInt(body, static_cast<std::int32_t>(ResultKind::rows));
  addInt(body, kGlobalTable);
  addInt(body, static_cast<std::int32_t>(columns.size()));
  addString(body, keyspace), addString(body, table);
  for (const Column& col : columns) {
    addString(body, col.name);
    addShort(body, static_cast<std::uint16_t>(col.type));
    if (col.type == Type::setOfText) addShort(body, static_cast<std::uint16_t>(Type::varchar));
    if (col.type == Type::mapOfText)
      addShort(body, static_cast<std::uint16_t>(Type::varchar)),
          addShort(body, static_cast<std::uint16_t>(Type::varchar));
  }
  addInt(body, static_cast<std::int32_t>(rows.size()));
  for (const auto& row : rows)
    for (const auto& cell : row) {
      if (cell)
        addBytes(body, *cell);
      else
        addInt(body, -1);
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
    for (const std::string& v : values) addString(body, v);
  }
  return body;
}

bool readMultimap(std::string_view body, Multimap& into) {
  Cursor c(body);
  for (std::uint16_t n = c.twoBytes(); n > 0 && c.good(); --n) {
    std::string name(c.string());
    std::vector<std::string> values;
    for (std::uint16_t m = c.twoBytes(); m > 0 && c.good(); --m) values.emplace_back(c.string());
    into.emplace_back(std::move(name), std::move(values));
  }
  return c.ended();
}

namespace {

std::string eventBody(std::string_view type, std::string_view change, std::uint32_t address,
                      std::uint16_t port) {
  std::string body;
  addString(body, type), addString(body, change);
  addByte(body, 4);
  body.append(reinterpret_cast<const char*>(&address), 4);
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

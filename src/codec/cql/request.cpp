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
constexpr std::uint32_t kKnown4 = 0x7f, kKnown5 = 0x1ff;

std::size_t at(std::string_view body, const Cursor& c) {
  return body.size() - c.rest().size();
}

bool readFlags(Cursor& c, int version, std::uint32_t& flags) {
  flags = version >= 5 ? static_cast<std::uint32_t>(c.fourBytes()) : c.byte();
  return !(flags & ~(version >= 5 ? kKnown5 : kKnown4));
}

void readValues(Cursor& c, std::uint16_t n, bool named) {
  for (; n > 0 && c.good(); --n) {
    if (named) c.string();
    c.value();
  }
}

bool readParameters(std::string_view body, Cursor& c, int version, Parameters& p) {
  p.consistency = c.twoBytes();
  if (!readFlags(c, version, p.flags)) return false;
  if (p.flags & kValues) {
    p.values = c.twoBytes();
    readValues(c, p.values, p.flags & kNamed);
  }
  if (p.flags & kPageSize) p.pageSize = c.fourBytes();
  if (p.flags & kHasPageState) {
    p.pageAt = at(body, c);
    p.pageState = c.bytes();
    p.pageSpan = at(body, c) - p.pageAt;
  }
  if (p.flags & kSerial) c.twoBytes();
  if (p.flags & kTimestamp) c.eightBytes();
  if (p.flags & kKeyspace) p.keyspace = c.string();
  if (p.flags & kNow) c.fourBytes();
  return c.good();
}

bool readBatch(std::string_view body, Cursor& c, int version, std::size_t mostParts, Asked& into,
               const char*& why) {
  into.batchType = c.byte();
  std::uint16_t n = c.twoBytes();
  if (into.batchType > 2) {
    why = "an unknown type of batch";
    return false;
  }
  if (n > mostParts) {
    why = "a batch of too many statements";
    return false;
  }
  into.parts.reserve(n);
  for (; n > 0 && c.good(); --n) {
    Part p;
    std::uint8_t kind = c.byte();
    p.at = at(body, c);
    p.prepared = kind == 1;
    p.text = p.prepared ? c.shortBytes() : c.longString();
    if (kind > 1) c.fail();
    readValues(c, c.twoBytes(), false);
    into.parts.push_back(p);
  }
  into.parameters.consistency = c.twoBytes();
  std::uint32_t& flags = into.parameters.flags;
  // Names can't be told from values here, as their flag comes behind them.
  if (!readFlags(c, version, flags) || flags & (kValues | kPageSize | kHasPageState | kNamed))
    return false;
  if (flags & kSerial) c.twoBytes();
  if (flags & kTimestamp) c.eightBytes();
  if (flags & kKeyspace) into.parameters.keyspace = c.string();
  if (flags & kNow) c.fourBytes();
  return c.good();
}

}  // namespace

bool readStart(std::string_view body, Start& into) {
  Cursor c(body);
  for (std::uint16_t n = c.twoBytes(); n > 0 && c.good(); --n) {
    std::string_view name = c.string(), value = c.string();
    if (name == "CQL_VERSION") into.cqlVersion = value;
    if (name == "COMPRESSION") into.compression = value;
  }
  return c.ended() && !into.cqlVersion.empty();
}

bool readAsked(const Frame& f, std::size_t mostParts, Asked& into, const char*& why) {
  why = "the body can't be read";
  Cursor c(f.body);
  if (f.flags & kPayload) {
    if (!readBytesMap(c, into.payload)) return false;
    into.payloadSpan = at(f.body, c);
  }
  switch (f.opcode) {
    case Opcode::query:
      into.text = c.longString();
      return readParameters(f.body, c, f.version, into.parameters) && c.ended();
    case Opcode::prepare:
      into.text = c.longString();
      if (f.version >= 5) {
        std::int32_t flags = c.fourBytes();
        if (flags & ~1) return false;
        if (flags & 1) into.parameters.keyspace = c.string();
      }
      return c.ended();
    case Opcode::execute:
      into.idAt = at(f.body, c);
      into.id = c.shortBytes();
      if (f.version >= 5) {
        into.resultIdAt = at(f.body, c);
        into.resultId = c.shortBytes();
      }
      return readParameters(f.body, c, f.version, into.parameters) && c.ended();
    case Opcode::batch:
      return readBatch(f.body, c, f.version, mostParts, into, why) && c.ended();
    default:
      return false;
  }
}

bool readRegister(std::string_view body, std::vector<std::string_view>& into) {
  Cursor c(body);
  for (std::uint16_t n = c.twoBytes(); n > 0 && c.good(); --n) into.push_back(c.string());
  return c.ended();
}

const char* consistencyName(std::uint16_t level) {
  static constexpr std::array kNames = {"ANY",    "ONE",          "TWO",          "THREE",
                                        "QUORUM", "ALL",          "LOCAL_QUORUM", "EACH_QUORUM",
                                        "SERIAL", "LOCAL_SERIAL", "LOCAL_ONE"};
  return level < kNames.size() ? kNames[level] : "?";
}

}  // namespace reedchute::cql

#include "codec/cql/wire.h"

#include <algorithm>

namespace reedchute::cql {
namespace {

constexpr std::size_t kMaxShortLength = 0xffff;  // bytes of a notation with a [short] length
constexpr std::uint8_t kResponseBit = 0x80;      // in the header's version byte
constexpr std::int32_t kNullLength = -1;
constexpr std::int32_t kNotSetLength = -2;  // only in a [value]

// Offsets in a frame's header, in bytes.
constexpr std::size_t kVersionOffset = 0;
constexpr std::size_t kFlagsOffset = 1;
constexpr std::size_t kStreamOffset = 2;
constexpr std::size_t kOpcodeOffset = 4;
constexpr std::size_t kLengthOffset = 5;

template <class Integer>
void addBigEndian(std::string& to, Integer value) {
  for (int shift = static_cast<int>(sizeof value) * 8 - 8; shift >= 0; shift -= 8) {
    to.push_back(static_cast<char>(value >> shift & 0xff));
  }
}

template <class Integer>
Integer readBigEndian(std::string_view bytes) {
  Integer value = 0;
  for (char byte : bytes) {
    value = static_cast<Integer>(value << 8 | static_cast<unsigned char>(byte));
  }
  return value;
}

template <class Integer>
Integer readBigEndianAt(std::string_view bytes, std::size_t offset) {
  return readBigEndian<Integer>(bytes.substr(offset, sizeof(Integer)));
}

}  // namespace

Framed readFrame(std::string_view bytes, std::size_t maxBodySize, Frame& result) {
  if (bytes.size() < kHeaderSize) return Framed::partial;
  auto length = static_cast<std::int32_t>(readBigEndianAt<std::uint32_t>(bytes, kLengthOffset));
  if (length < 0 || static_cast<std::size_t>(length) > maxBodySize) return Framed::bad;
  auto version = static_cast<std::uint8_t>(bytes[kVersionOffset]);
  result.isResponse = version & kResponseBit;
  result.version = version & ~kResponseBit;
  result.flags = static_cast<std::uint8_t>(bytes[kFlagsOffset]);
  result.stream = static_cast<std::int16_t>(readBigEndianAt<std::uint16_t>(bytes, kStreamOffset));
  result.opcode = static_cast<Opcode>(bytes[kOpcodeOffset]);
  if (bytes.size() < kHeaderSize + static_cast<std::size_t>(length)) return Framed::partial;
  result.body = bytes.substr(kHeaderSize, static_cast<std::size_t>(length));
  return Framed::whole;
}

bool isRequestOpcode(Opcode opcode) {
  switch (opcode) {
    case Opcode::startup:
    case Opcode::options:
    case Opcode::query:
    case Opcode::prepare:
    case Opcode::execute:
    case Opcode::reg:
    case Opcode::batch:
    case Opcode::authResponse:
      return true;
    default:
      return false;
  }
}

std::string_view Cursor::take(std::size_t size) {
  if (!good_ || size > rest_.size()) {
    fail();
    return {};
  }
  std::string_view taken = rest_.substr(0, size);
  rest_.remove_prefix(size);
  return taken;
}

std::uint8_t Cursor::byte() {
  return readBigEndian<std::uint8_t>(take(1));
}

std::uint16_t Cursor::twoBytes() {
  return readBigEndian<std::uint16_t>(take(2));
}

std::int32_t Cursor::fourBytes() {
  return static_cast<std::int32_t>(readBigEndian<std::uint32_t>(take(4)));
}

std::int64_t Cursor::eightBytes() {
  return static_cast<std::int64_t>(readBigEndian<std::uint64_t>(take(8)));
}

std::string_view Cursor::string() {
  return take(twoBytes());
}

std::string_view Cursor::shortBytes() {
  return take(twoBytes());
}

std::string_view Cursor::longString() {
  std::int32_t length = fourBytes();
  if (length < 0) fail();
  return take(static_cast<std::size_t>(std::max(length, 0)));
}

std::optional<std::string_view> Cursor::bytes() {
  std::int32_t length = fourBytes();
  if (length < kNullLength) fail();
  if (length < 0) return std::nullopt;
  std::string_view taken = take(static_cast<std::size_t>(length));
  if (!good_) return std::nullopt;
  return taken;
}

std::string_view Cursor::value() {
  std::string_view begin = rest_;
  std::int32_t length = fourBytes();
  if (length < kNotSetLength) fail();
  take(static_cast<std::size_t>(std::max(length, 0)));
  if (!good_) return {};
  return begin.substr(0, begin.size() - rest_.size());
}

void addByte(std::string& to, std::uint8_t value) {
  to.push_back(static_cast<char>(value));
}

void addShort(std::string& to, std::uint16_t value) {
  addBigEndian(to, value);
}

void addInt(std::string& to, std::int32_t value) {
  addBigEndian(to, static_cast<std::uint32_t>(value));
}

void addLong(std::string& to, std::int64_t value) {
  addBigEndian(to, static_cast<std::uint64_t>(value));
}

void addString(std::string& to, std::string_view value) {
  value = value.substr(0, kMaxShortLength);
  addShort(to, static_cast<std::uint16_t>(value.size()));
  to += value;
}

void addShortBytes(std::string& to, std::string_view value) {
  addString(to, value);
}

void addLongString(std::string& to, std::string_view value) {
  addInt(to, static_cast<std::int32_t>(value.size()));
  to += value;
}

void addBytes(std::string& to, std::string_view value) {
  addLongString(to, value);
}

bool readBytesMap(Cursor& cursor, BytesMap& into) {
  for (std::uint16_t left = cursor.twoBytes(); left > 0 && cursor.good(); --left) {
    std::string_view name = cursor.string();
    into.emplace_back(name, cursor.bytes().value_or(std::string_view{}));
  }
  return cursor.good();
}

void addBytesMap(std::string& to, const BytesMap& map) {
  addShort(to, static_cast<std::uint16_t>(map.size()));
  for (const auto& [name, value] : map) {
    addString(to, name);
    addBytes(to, value);
  }
}

std::string_view valueOf(const BytesMap& map, std::string_view name) {
  for (const auto& [key, value] : map) {
    if (key == name) return value;
  }
  return {};
}

void addHeader(std::string& to, bool isResponse, int version, std::uint8_t flags,
               std::int16_t stream, Opcode opcode, std::size_t size) {
  addByte(to, static_cast<std::uint8_t>((isResponse ? kResponseBit : 0) | version));
  addByte(to, flags);
  addShort(to, static_cast<std::uint16_t>(stream));
  addByte(to, static_cast<std::uint8_t>(opcode));
  addInt(to, static_cast<std::int32_t>(size));
}

std::string encodeFrame(bool isResponse, int version, std::uint8_t flags, std::int16_t stream,
                        Opcode opcode, std::string_view body) {
  std::string bytes;
  bytes.reserve(kHeaderSize + body.size());
  addHeader(bytes, isResponse, version, flags, stream, opcode, body.size());
  bytes += body;
  return bytes;
}

std::string errorBody(std::int32_t code, std::string_view text) {
  std::string body;
  addInt(body, code);
  addString(body, text);
  return body;
}

const char* nameOf(Opcode opcode) {
  static constexpr const char* kNames[] = {
      "ERROR",     "STARTUP", "READY",          "AUTHENTICATE",  "?",           "OPTIONS",
      "SUPPORTED", "QUERY",   "RESULT",         "PREPARE",       "EXECUTE",     "REGISTER",
      "EVENT",     "BATCH",   "AUTH_CHALLENGE", "AUTH_RESPONSE", "AUTH_SUCCESS"};
  auto index = static_cast<std::size_t>(opcode);
  return index < std::size(kNames) ? kNames[index] : "?";
}

}  // namespace reedchute::cql

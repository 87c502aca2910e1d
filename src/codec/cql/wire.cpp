#include "codec/cql/wire.h"

#include <algorithm>

namespace reedchute::cql {
namespace {

constexpr std::size_t kMostShort = 0xffff;

template <class T>
void addBig(std::string& to, T v) {
  for (int shift = static_cast<int>(sizeof v) * 8 - 8; shift >= 0; shift -= 8)
    to.push_back(static_cast<char>(v >> shift & 0xff));
}

template <class T>
T big(std::string_view b) {
  T v = 0;
  for (char c : b) v = static_cast<T>(v << 8 | static_cast<unsigned char>(c));
  return v;
}

}  // namespace

Framed frame(std::string_view bytes, std::size_t most, Frame& f) {
  if (bytes.size() < kHeader) return Framed::partial;
  auto length = static_cast<std::int32_t>(big<std::uint32_t>(bytes.substr(5, 4)));
  if (length < 0 || static_cast<std::size_t>(length) > most) return Framed::bad;
  auto version = static_cast<std::uint8_t>(bytes[0]);
  f.answer = version & 0x80;
  f.version = version & 0x7f;
  f.flags = static_cast<std::uint8_t>(bytes[1]);
  f.stream = static_cast<std::int16_t>(big<std::uint16_t>(bytes.substr(2, 2)));
  f.opcode = static_cast<Opcode>(bytes[4]);
  if (bytes.size() < kHeader + static_cast<std::size_t>(length)) return Framed::partial;
  f.body = bytes.substr(kHeader, static_cast<std::size_t>(length));
  return Framed::whole;
}

bool askable(Opcode o) {
  switch (o) {
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

std::string_view Cursor::take(std::size_t n) {
  if (!good_ || n > rest_.size()) {
    fail();
    return {};
  }
  std::string_view taken = rest_.substr(0, n);
  rest_.remove_prefix(n);
  return taken;
}

std::uint8_t Cursor::byte() {
  return big<std::uint8_t>(take(1));
}
std::uint16_t Cursor::twoBytes() {
  return big<std::uint16_t>(take(2));
}
std::int32_t Cursor::fourBytes() {
  return static_cast<std::int32_t>(big<std::uint32_t>(take(4)));
}
std::int64_t Cursor::eightBytes() {
  return static_cast<std::int64_t>(big<std::uint64_t>(take(8)));
}
std::string_view Cursor::string() {
  return take(twoBytes());
}
std::string_view Cursor::shortBytes() {
  return take(twoBytes());
}

std::string_view Cursor::longString() {
  std::int32_t n = fourBytes();
  if (n < 0) fail();
  return take(static_cast<std::size_t>(std::max(n, 0)));
}

std::optional<std::string_view> Cursor::bytes() {
  std::int32_t n = fourBytes();
  if (n < -1) fail();
  if (n < 0) return std::nullopt;
  std::string_view v = take(static_cast<std::size_t>(n));
  if (!good_) return std::nullopt;
  return v;
}

std::string_view Cursor::value() {
  std::string_view from = rest_;
  std::int32_t n = fourBytes();
  if (n < -2) fail();
  take(static_cast<std::size_t>(std::max(n, 0)));
  return good_ ? from.substr(0, from.size() - rest_.size()) : std::string_view{};
}

void addByte(std::string& to, std::uint8_t v) {
  to.push_back(static_cast<char>(v));
}
void addShort(std::string& to, std::uint16_t v) {
  addBig(to, v);
}
void addInt(std::string& to, std::int32_t v) {
  addBig(to, static_cast<std::uint32_t>(v));
}
void addLong(std::string& to, std::int64_t v) {
  addBig(to, static_cast<std::uint64_t>(v));
}

void addString(std::string& to, std::string_view v) {
  v = v.substr(0, kMostShort);
  addShort(to, static_cast<std::uint16_t>(v.size()));
  to += v;
}

void addShortBytes(std::string& to, std::string_view v) {
  addString(to, v);
}

void addLongString(std::string& to, std::string_view v) {
  addInt(to, static_cast<std::int32_t>(v.size()));
  to += v;
}

void addBytes(std::string& to, std::string_view v) {
  addLongString(to, v);
}

bool readBytesMap(Cursor& c, BytesMap& into) {
  for (std::uint16_t n = c.twoBytes(); n > 0 && c.good(); --n) {
    std::string_view name = c.string();
    into.emplace_back(name, c.bytes().value_or(std::string_view{}));
  }
  return c.good();
}

void addBytesMap(std::string& to, const BytesMap& map) {
  addShort(to, static_cast<std::uint16_t>(map.size()));
  for (const auto& [name, value] : map) addString(to, name), addBytes(to, value);
}

std::string_view valueOf(const BytesMap& map, std::string_view name) {
  for (const auto& [known, value] : map)
    if (known == name) return value;
  return {};
}

void addHeader(std::string& to, bool answer, int version, std::uint8_t flags, std::int16_t stream,
               Opcode o, std::size_t size) {
  addByte(to, static_cast<std::uint8_t>((answer ? 0x80 : 0) | version));
  addByte(to, flags);
  addShort(to, static_cast<std::uint16_t>(stream));
  addByte(to, static_cast<std::uint8_t>(o));
  addInt(to, static_cast<std::int32_t>(size));
}

std::string whole(bool answer, int version, std::uint8_t flags, std::int16_t stream, Opcode o,
                  std::string_view body) {
  std::string bytes;
  bytes.reserve(kHeader + body.size());
  addHeader(bytes, answer, version, flags, stream, o, body.size());
  bytes += body;
  return bytes;
}

std::string errorBody(std::int32_t code, std::string_view text) {
  std::string body;
  addInt(body, code);
  addString(body, text);
  return body;
}

const char* nameOf(Opcode o) {
  static constexpr const char* kNames[] = {
      "ERROR",     "STARTUP", "READY",          "AUTHENTICATE",  "?",           "OPTIONS",
      "SUPPORTED", "QUERY",   "RESULT",         "PREPARE",       "EXECUTE",     "REGISTER",
      "EVENT",     "BATCH",   "AUTH_CHALLENGE", "AUTH_RESPONSE", "AUTH_SUCCESS"};
  auto k = static_cast<std::size_t>(o);
  return k < std::size(kNames) ? kNames[k] : "?";
}

}  // namespace reedchute::cql

#include "codec/pg/messages.h"

namespace reedchute::pg {
namespace {

constexpr std::size_t kTypeSize = 1;                             // bytes
constexpr std::size_t kLengthSize = 4;                           // bytes
constexpr std::size_t kHeaderSize = kTypeSize + kLengthSize;     // bytes
constexpr std::size_t kMinStartupLength = 8;                     // bytes: length and request code
constexpr std::size_t kColumnCountSize = 2;                      // bytes
constexpr std::size_t kColumnHeaderSize = kColumnCountSize + 4;  // bytes: count and value length
constexpr std::size_t kColumnAttributesSize = 18;                // bytes after a column's name
constexpr std::size_t kSqlstateSize = 5;                         // characters
constexpr std::uint32_t kNullLength = 0xffffffff;                // length field of a NULL value: -1
constexpr std::string_view kOneColumnCount("\0\1", kColumnCountSize);

std::uint32_t read32(std::string_view bytes) {
  auto byteAt = [&](std::size_t index) {
    return static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[index]));
  };
  return byteAt(0) << 24 | byteAt(1) << 16 | byteAt(2) << 8 | byteAt(3);
}

void add32(std::string& to, std::uint32_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) {
    to.push_back(static_cast<char>(value >> shift & 0xff));
  }
}

void addString(std::string& to, std::string_view text) {
  to.append(text.substr(0, text.find('\0')));
  to.push_back('\0');
}

}  // namespace

std::string message(char type, std::string_view payload) {
  std::string bytes(1, type);
  add32(bytes, static_cast<std::uint32_t>(payload.size() + kLengthSize));
  bytes.append(payload);
  return bytes;
}

std::string parameter(std::string_view name, std::string_view value) {
  std::string payload;
  addString(payload, name);
  addString(payload, value);
  return message('S', payload);
}

Framed frame(std::string_view bytes, std::size_t maxLength, Message& message) {
  if (bytes.size() < kHeaderSize) return Framed::partial;
  std::uint32_t length = read32(bytes.substr(kTypeSize));
  if (length < kLengthSize || length > maxLength) return Framed::bad;
  std::size_t size = kTypeSize + static_cast<std::size_t>(length);
  if (bytes.size() < size) return Framed::partial;
  message.type = bytes[0];
  message.whole = bytes.substr(0, size);
  message.payload = message.whole.substr(kHeaderSize);
  return Framed::whole;
}

Framed frameStartup(std::string_view bytes, std::size_t maxLength, std::int32_t& code,
                    std::size_t& size) {
  if (bytes.size() < kLengthSize) return Framed::partial;
  std::uint32_t length = read32(bytes);
  if (length < kMinStartupLength || length > maxLength) return Framed::bad;
  if (bytes.size() < length) return Framed::partial;
  code = static_cast<std::int32_t>(read32(bytes.substr(kLengthSize)));
  size = length;
  return Framed::whole;
}

namespace {

constexpr std::size_t kMaxDescriptionLength = 8 * 1024;  // bytes: columns, errors, parameters
constexpr std::size_t kMaxCommandTagLength = 256;        // bytes
constexpr std::size_t kMaxAuthenticationLength = 64;     // bytes: Authentication and BackendKeyData
constexpr std::size_t kReadyForQueryLength = 5;          // bytes

// Returns the largest length that a server message of this type may state; 0 for an unknown type.
// Lengths are in bytes and include the length field itself. `maxRowLength` applies to DataRow.
std::size_t maxLengthOf(char type, std::size_t maxRowLength) {
  switch (type) {
    case 'D':
      return maxRowLength;
    case 'T':
    case 'E':
    case 'N':
    case 'S':
      return kMaxDescriptionLength;
    case 'C':
      return kMaxCommandTagLength;
    case 'R':
    case 'K':
      return kMaxAuthenticationLength;
    case 'Z':
      return kReadyForQueryLength;
    case 'I':
      return kLengthSize;
    default:
      return 0;
  }
}

// Whether the payload of a RowDescription describes exactly one column.
bool isSingleColumnDescription(std::string_view payload) {
  if (payload.substr(0, kColumnCountSize) != kOneColumnCount) return false;
  payload.remove_prefix(kColumnCountSize);
  return takeString(payload) && payload.size() == kColumnAttributesSize;
}

// Whether the payload is that of an ErrorResponse or NoticeResponse: fields that consist of a code
// and a zero-terminated string, then a zero byte.
bool isFieldList(std::string_view payload) {
  while (!payload.empty() && payload[0] != '\0') {
    payload.remove_prefix(1);
    if (!takeString(payload)) return false;
  }
  return payload.size() == 1;
}

}  // namespace

std::size_t statedSize(std::string_view bytes) {
  if (bytes.size() < kHeaderSize) return 0;
  return kTypeSize + read32(bytes.substr(kTypeSize));
}

bool isServerMessagePrefix(std::string_view bytes, std::size_t maxRowLength) {
  if (bytes.empty()) return true;
  std::size_t maxLength = maxLengthOf(bytes[0], maxRowLength);
  if (maxLength == 0) return false;
  if (bytes.size() < kHeaderSize) return true;
  std::uint32_t length = read32(bytes.substr(kTypeSize));
  if (length < kLengthSize || length > maxLength) return false;
  if (bytes[0] != 'D' || bytes.size() < kHeaderSize + kColumnHeaderSize) return true;
  // If the value's length disagreed with the row's, the bytes of the messages that follow could be
  // taken as part of the value.
  std::string_view row = bytes.substr(kHeaderSize);
  if (row.substr(0, kColumnCountSize) != kOneColumnCount) return false;
  std::uint32_t valueLength = read32(row.substr(kColumnCountSize));
  std::uint64_t valueSize = valueLength == kNullLength ? 0 : valueLength;
  return length == kLengthSize + kColumnHeaderSize + valueSize;
}

bool isWellFormed(const Message& message) {
  std::string_view rest = message.payload;
  switch (message.type) {
    case 'T':
      return isSingleColumnDescription(rest);
    case 'D':
      return isSingleColumnRow(rest);
    case 'C':
      return takeString(rest) && rest.empty();
    case 'S':
      return takeString(rest) && takeString(rest) && rest.empty();
    case 'Z':
      return rest == "I" || rest == "T" || rest == "E";
    case 'E':
      return isFieldList(rest) && errorField(rest, 'C').size() == kSqlstateSize;
    case 'N':
      return isFieldList(rest);
    default:
      return true;
  }
}

std::optional<std::string_view> takeString(std::string_view& payload) {
  std::size_t end = payload.find('\0');
  if (end == std::string_view::npos) return std::nullopt;
  std::string_view text = payload.substr(0, end);
  payload.remove_prefix(end + 1);
  return text;
}

std::string_view errorField(std::string_view payload, char field) {
  while (!payload.empty() && payload[0] != '\0') {
    char name = payload[0];
    payload.remove_prefix(1);
    std::optional<std::string_view> value = takeString(payload);
    if (!value) break;
    if (name == field) return *value;
  }
  return {};
}

bool isSingleColumnRow(std::string_view payload) {
  if (payload.size() < kColumnHeaderSize) return false;
  if (payload.substr(0, kColumnCountSize) != kOneColumnCount) return false;
  std::uint32_t length = read32(payload.substr(kColumnCountSize));
  std::size_t valueSize = payload.size() - kColumnHeaderSize;
  return length == kNullLength ? valueSize == 0 : valueSize == length;
}

std::optional<std::string_view> firstColumn(std::string_view payload) {
  if (!isSingleColumnRow(payload)) return std::nullopt;
  if (read32(payload.substr(kColumnCountSize)) == kNullLength) return std::nullopt;
  return payload.substr(kColumnHeaderSize);
}

std::string startup(std::string_view user, std::string_view database) {
  std::string payload;
  add32(payload, static_cast<std::uint32_t>(kVersion3));
  addString(payload, "user");
  addString(payload, user);
  addString(payload, "database");
  addString(payload, database);
  payload.push_back('\0');
  std::string bytes;
  add32(bytes, static_cast<std::uint32_t>(payload.size() + kLengthSize));
  return bytes + payload;
}

std::string query(std::string_view text) {
  std::string payload(text);
  payload.push_back('\0');
  return message('Q', payload);
}

std::string error(bool isFatal, std::string_view code, std::string_view text,
                  std::string_view detail) {
  std::string payload;
  auto addField = [&](char name, std::string_view value) {
    payload.push_back(name);
    addString(payload, value);
  };
  std::string_view severity = isFatal ? "FATAL" : "ERROR";
  addField('S', severity);
  addField('V', severity);
  addField('C', code);
  addField('M', text);
  if (!detail.empty()) addField('D', detail);
  payload.push_back('\0');
  return message('E', payload);
}

std::string greeting() {
  std::string bytes = message('R', std::string_view("\0\0\0\0", 4));
  bytes += parameter("server_version", "15.0");
  bytes += parameter("server_encoding", "UTF8");
  bytes += parameter("client_encoding", "UTF8");
  bytes += parameter("DateStyle", "ISO, MDY");
  bytes += parameter("integer_datetimes", "on");
  bytes += parameter("standard_conforming_strings", "on");
  bytes += message('K', std::string_view("\0\0\0\0\0\0\0\0", 8));
  return bytes + ready();
}

std::string ready() {
  return message('Z', "I");
}

std::string emptyQuery() {
  return message('I', {});
}

}  // namespace reedchute::pg

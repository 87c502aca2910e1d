#include "codec/pg/messages.h"

namespace reedchute::pg {
namespace {

std::uint32_t read32(std::string_view b) {
  auto at = [&](std::size_t k) {
    return static_cast<std::uint32_t>(static_cast<unsigned char>(b[k]));
  };
  return at(0) << 24 | at(1) << 16 | at(2) << 8 | at(3);
}

void add32(std::string& to, std::uint32_t v) {
  for (int shift = 24; shift >= 0; shift -= 8) to.push_back(static_cast<char>(v >> shift & 0xff));
}

void addString(std::string& to, std::string_view text) {
  to.append(text.substr(0, text.find('\0')));
  to.push_back('\0');
}

}  // namespace

std::string message(char type, std::string_view payload) {
  std::string m(1, type);
  add32(m, static_cast<std::uint32_t>(payload.size() + 4));
  m.append(payload);
  return m;
}

std::string parameter(std::string_view name, std::string_view value) {
  std::string payload;
  addString(payload, name);
  addString(payload, value);
  return message('S', payload);
}

Framed frame(std::string_view bytes, std::size_t most, Message& m) {
  if (bytes.size() < 5) return Framed::partial;
  std::uint32_t length = read32(bytes.substr(1));
  if (length < 4 || length > most) return Framed::bad;
  if (bytes.size() < 1 + static_cast<std::size_t>(length)) return Framed::partial;
  m.type = bytes[0];
  m.whole = bytes.substr(0, 1 + static_cast<std::size_t>(length));
  m.payload = m.whole.substr(5);
  return Framed::whole;
}

Framed frameStartup(std::string_view bytes, std::size_t most, std::int32_t& code,
                    std::size_t& size) {
  if (bytes.size() < 4) return Framed::partial;
  std::uint32_t length = read32(bytes);
  if (length < 8 || length > most) return Framed::bad;
  if (bytes.size() < length) return Framed::partial;
  code = static_cast<std::int32_t>(read32(bytes.substr(4)));
  size = length;
  return Framed::whole;
}

namespace {

// What a store's message may state as its length, by type; 0: no such message is known.
std::size_t mostOf(char type, std::size_t mostRow) {
  switch (type) {
    case 'D':
      return mostRow;
    case 'T':
    case 'E':
    case 'N':
    case 'S':
      return 8 * 1024;
    case 'C':
      return 256;
    case 'R':
    case 'K':
      return 64;
    case 'Z':
      return 5;
    default:
      return 0;
  }
}

}  // namespace

std::size_t statedSize(std::string_view bytes) {
  return bytes.size() < 5 ? 0 : 1 + read32(bytes.substr(1));
}

bool storeMessageMayFollow(std::string_view bytes, std::size_t mostRow) {
  if (bytes.empty()) return true;
  std::size_t most = mostOf(bytes[0], mostRow);
  if (most == 0) return false;
  if (bytes.size() < 5) return true;
  std::uint32_t length = read32(bytes.substr(1));
  if (length < 4 || length > most) return false;
  if (bytes[0] != 'D' || bytes.size() < 11) return true;
  // A row that states a longer value than it has would swallow the messages that follow.
  std::uint32_t column = read32(bytes.substr(7));
  return bytes[5] == 0 && bytes[6] == 1 && length == (column == 0xffffffff ? 10 : column + 10ULL);
}

bool wellFormed(const Message& m) {
  std::string_view rest = m.payload;
  bool more = true;
  switch (m.type) {
    case 'T':
      if (rest.substr(0, 2) != std::string_view("\0\1", 2)) return false;
      rest.remove_prefix(2);
      return takeString(rest) && rest.size() == 18;
    case 'D':
      return oneColumn(rest);
    case 'C':
      return takeString(rest) && rest.empty();
    case 'S':
      return takeString(rest) && takeString(rest) && rest.empty();
    case 'Z':
      return rest == "I" || rest == "T" || rest == "E";
    case 'E':
    case 'N':
      while (more && !rest.empty() && rest[0] != '\0') {
        rest.remove_prefix(1);
        more = takeString(rest).has_value();
      }
      return more && rest.size() == 1 && (m.type == 'N' || errorField(m.payload, 'C').size() == 5);
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

bool oneColumn(std::string_view payload) {
  if (payload.size() < 6 || payload[0] != 0 || payload[1] != 1) return false;
  std::uint32_t length = read32(payload.substr(2));
  return length == 0xffffffff ? payload.size() == 6 : payload.size() - 6 == length;
}

std::optional<std::string_view> firstColumn(std::string_view payload) {
  if (!oneColumn(payload) || read32(payload.substr(2)) == 0xffffffff) return std::nullopt;
  return payload.substr(6);
}

std::string startup(std::string_view user, std::string_view database) {
  std::string payload;
  add32(payload, static_cast<std::uint32_t>(kVersion3));
  for (std::string_view text :
       {std::string_view("user"), user, std::string_view("database"), database})
    addString(payload, text);
  payload.push_back('\0');
  std::string m;
  add32(m, static_cast<std::uint32_t>(payload.size() + 4));
  return m + payload;
}

std::string query(std::string_view text) {
  std::string payload(text);
  payload.push_back('\0');
  return message('Q', payload);
}

std::string error(bool fatal, std::string_view code, std::string_view text,
                  std::string_view detail) {
  std::string payload;
  auto field = [&](char name, std::string_view value) {
    payload.push_back(name);
    addString(payload, value);
  };
  field('S', fatal ? "FATAL" : "ERROR");
  field('V', fatal ? "FATAL" : "ERROR");
  field('C', code);
  field('M', text);
  if (!detail.empty()) field('D', detail);
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

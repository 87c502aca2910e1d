// The Cassandra native protocol, versions 4 and 5, from its public specifications: frames, the
// notations inside their bodies, and the bytes of frames that the front words itself. No I/O.
// Integers are big-endian.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace reedchute::cql {

inline constexpr int kLowest = 4, kHighest = 5;  // versions that are spoken
inline constexpr std::size_t kHeader = 9;

enum class Opcode : std::uint8_t {
  error = 0x00,
  startup = 0x01,
  ready = 0x02,
  authenticate = 0x03,
  options = 0x05,
  supported = 0x06,
  query = 0x07,
  result = 0x08,
  prepare = 0x09,
  execute = 0x0a,
  reg = 0x0b,
  event = 0x0c,
  batch = 0x0d,
  authChallenge = 0x0e,
  authResponse = 0x0f,
  authSuccess = 0x10,
};

enum Flag : std::uint8_t {
  kCompressed = 0x01,
  kTracing = 0x02,
  kPayload = 0x04,
  kWarnings = 0x08,
  kBeta = 0x10,
};

// One frame, as a view into the bytes that came.
struct Frame {
  bool answer = false;  // of a store, by the version's highest bit
  int version = 0;
  std::uint8_t flags = 0;
  std::int16_t stream = 0;
  Opcode opcode = Opcode::error;
  std::string_view body;  // without its header, decompressed
};

enum class Framed { whole, partial, bad };

// Looks for one frame at the start of `bytes`; its size is kHeader + f.body.size(). `bad`: a body
// longer than `most`, or a negative one. The version isn't judged here: an answer to it can still
// be worded.
Framed frame(std::string_view bytes, std::size_t most, Frame& f);

// Is it an opcode that a client may send?
bool askable(Opcode o);

// Reads notations one after the other. After the first that isn't there, `good` is false and all
// reads give nothing, zero or empty, so that it need be looked at once only.
class Cursor {
 public:
  explicit Cursor(std::string_view bytes) : rest_(bytes) {}

  std::uint8_t byte();
  std::uint16_t twoBytes();  // [short]
  std::int32_t fourBytes();  // [int]
  std::int64_t eightBytes();
  std::string_view string();      // [string]
  std::string_view longString();  // [long string]
  std::string_view shortBytes();
  // [bytes]; nothing where it is null. A length below -1 is bad.
  std::optional<std::string_view> bytes();
  // [value], as it stands with its length: of a bound value only its place matters. A length below
  // -2 is bad.
  std::string_view value();
  std::string_view take(std::size_t n);

  std::string_view rest() const { return rest_; }
  bool good() const { return good_; }
  bool ended() const { return good_ && rest_.empty(); }
  void fail() { good_ = false, rest_ = {}; }

 private:
  std::string_view rest_;
  bool good_ = true;
};

void addByte(std::string& to, std::uint8_t v);
void addShort(std::string& to, std::uint16_t v);
void addInt(std::string& to, std::int32_t v);
void addLong(std::string& to, std::int64_t v);
void addString(std::string& to, std::string_view v);  // cut at 65,535 bytes
void addLongString(std::string& to, std::string_view v);
void addShortBytes(std::string& to, std::string_view v);  // cut at 65,535 bytes
void addBytes(std::string& to, std::string_view v);

// A [bytes map], in the order in which it came.
using BytesMap = std::vector<std::pair<std::string_view, std::string_view>>;
// Null values count as empty; false where it can't be read.
bool readBytesMap(Cursor& c, BytesMap& into);
void addBytesMap(std::string& to, const BytesMap& map);
std::string_view valueOf(const BytesMap& map, std::string_view name);

// A frame's header for a body of `size` bytes, and a whole frame.
void addHeader(std::string& to, bool answer, int version, std::uint8_t flags, std::int16_t stream,
               Opcode o, std::size_t size);
std::string whole(bool answer, int version, std::uint8_t flags, std::int16_t stream, Opcode o,
                  std::string_view body);

// The protocol's error codes.
enum Code : std::int32_t {
  kServerError = 0x0000,
  kProtocolError = 0x000a,
  kBadCredentials = 0x0100,
  kUnavailable = 0x1000,
  kOverloaded = 0x1001,
  kBootstrapping = 0x1002,
  kTruncateError = 0x1003,
  kWriteTimeout = 0x1100,
  kReadTimeout = 0x1200,
  kReadFailure = 0x1300,
  kFunctionFailure = 0x1400,
  kWriteFailure = 0x1500,
  kCdcFailure = 0x1600,
  kCasUnknown = 0x1700,
  kSyntaxError = 0x2000,
  kUnauthorized = 0x2100,
  kInvalid = 0x2200,
  kConfigError = 0x2300,
  kAlreadyExists = 0x2400,
  kUnprepared = 0x2500,
};

// The body of an ERROR whose code has no fields of its own.
std::string errorBody(std::int32_t code, std::string_view text);

const char* nameOf(Opcode o);

}  // namespace reedchute::cql

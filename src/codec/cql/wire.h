// The wire format of the Cassandra native protocol, versions 4 and 5, as publicly specified:
// frames, the notations in their bodies (such as [string]), and encoders for the frames that the
// proxy itself sends. Integers are big-endian.
//
// No I/O. Views in results point into the caller's bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace reedchute::cql {

// The supported protocol versions.
inline constexpr int kLowestVersion = 4, kHighestVersion = 5;
inline constexpr std::size_t kHeaderSize = 9;  // bytes

// The type of a frame, with its value on the wire.
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

// The flags of a frame's header.
enum Flag : std::uint8_t {
  kCompressed = 0x01,
  kTracing = 0x02,
  kPayload = 0x04,
  kWarnings = 0x08,
  kBeta = 0x10,
};

// One frame, as a view into the received bytes.
struct Frame {
  bool isResponse = false;  // from the highest bit of the version byte
  int version = 0;
  std::uint8_t flags = 0;
  std::int16_t stream = 0;
  Opcode opcode = Opcode::error;
  std::string_view body;  // without the header; decompressed if read by Framing
};

// The outcome of reading a frame: a whole frame, the beginning of one, or malformed input.
enum class Framed { whole, partial, bad };

// Reads the frame at the start of `bytes`, of kHeaderSize + result.body.size() bytes, into
// `result`. Returns `bad` for a body longer than `maxBodySize` or of negative length. If the result
// is `partial` and `bytes` contains the whole header, all fields but the body are set. Any version
// is accepted, so that the caller can respond to one that it doesn't support.
Framed readFrame(std::string_view bytes, std::size_t maxBodySize, Frame& result);

// Whether a client may send this opcode.
bool isRequestOpcode(Opcode opcode);

// Reads notations sequentially. After the first failed read, `good` is false and every further read
// returns zero, empty or nullopt, so that the caller can check for errors once, at the end.
class Cursor {
 public:
  explicit Cursor(std::string_view bytes) : rest_(bytes) {}

  std::uint8_t byte();            // [byte]
  std::uint16_t twoBytes();       // [short]
  std::int32_t fourBytes();       // [int]
  std::int64_t eightBytes();      // [long]
  std::string_view string();      // [string]
  std::string_view longString();  // [long string]
  std::string_view shortBytes();  // [short bytes]
  // [bytes]; nullopt if it is null. A length below -1 is invalid.
  std::optional<std::string_view> bytes();
  // [value], with its length field. A length below -2 is invalid.
  std::string_view value();
  // The next `size` bytes.
  std::string_view take(std::size_t size);

  // The unread bytes; empty after a failure.
  std::string_view rest() const { return rest_; }
  // Whether all reads so far succeeded.
  bool good() const { return good_; }
  // Whether all reads succeeded and no bytes are left.
  bool ended() const { return good_ && rest_.empty(); }
  // Marks the cursor as failed, as a failed read does.
  void fail() {
    good_ = false;
    rest_ = {};
  }

 private:
  std::string_view rest_;
  bool good_ = true;
};

// Each appends one notation to `to`.
void addByte(std::string& to, std::uint8_t value);
void addShort(std::string& to, std::uint16_t value);
void addInt(std::string& to, std::int32_t value);
void addLong(std::string& to, std::int64_t value);
void addString(std::string& to, std::string_view value);  // truncated to 65,535 bytes
void addLongString(std::string& to, std::string_view value);
void addShortBytes(std::string& to, std::string_view value);  // truncated to 65,535 bytes
void addBytes(std::string& to, std::string_view value);

// A [bytes map], in wire order.
using BytesMap = std::vector<std::pair<std::string_view, std::string_view>>;

// Reads a [bytes map], appending to `into`; false if it is invalid. A null value becomes empty.
bool readBytesMap(Cursor& cursor, BytesMap& into);

// Appends a [bytes map].
void addBytesMap(std::string& to, const BytesMap& map);

// The first value with this name; empty if there is none.
std::string_view valueOf(const BytesMap& map, std::string_view name);

// Appends the header of a frame whose body has `size` bytes.
void addHeader(std::string& to, bool isResponse, int version, std::uint8_t flags,
               std::int16_t stream, Opcode opcode, std::size_t size);

// Encodes a whole frame.
std::string encodeFrame(bool isResponse, int version, std::uint8_t flags, std::int16_t stream,
                        Opcode opcode, std::string_view body);

// The protocol's error codes.
enum ErrorCode : std::int32_t {
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

// Encodes the body of an ERROR, up to and including its text. Codes with further fields need them
// appended.
std::string errorBody(std::int32_t code, std::string_view text);

// The specification's name of an opcode; "?" for an unknown one.
const char* nameOf(Opcode opcode);

}  // namespace reedchute::cql

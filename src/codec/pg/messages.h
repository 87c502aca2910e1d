// Version 3 of the PostgreSQL wire protocol, limited to simple queries: incremental framing, checks
// of server messages, and encoders for the messages that the proxy sends itself.
//
// All functions are pure: no I/O and no state. Views in results point into the caller's bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace reedchute::pg {

// The codes with which a client's first message can begin.
inline constexpr std::int32_t kVersion3 = 196608;      // StartupMessage, protocol 3.0
inline constexpr std::int32_t kCancelCode = 80877102;  // CancelRequest
inline constexpr std::int32_t kSslCode = 80877103;     // SSLRequest
inline constexpr std::int32_t kGssCode = 80877104;     // GSSENCRequest

// One message, as a view into the received bytes.
struct Message {
  char type = 0;
  std::string_view payload;  // without type and length
  std::string_view whole;    // with both
};

// What framing found: a whole message, the beginning of one, or an invalid length.
enum class Framed { whole, partial, bad };

// Reads the message at the start of `bytes` into `message`. `bad` means that its length is
// impossible or above `most`; `message` is set only for `whole`.
Framed frame(std::string_view bytes, std::size_t most, Message& message);

// Reads the header of a client's first message, which has no type byte. For `whole`, `code` is the
// protocol version or request code, and `size` is the size of the message in bytes.
Framed frameStartup(std::string_view bytes, std::size_t most, std::int32_t& code,
                    std::size_t& size);

// Whether the server message that starts with `bytes` can still be valid. Checks the type and the
// stated length as soon as they are there, and the column length of a row. A row may state a length
// of at most `mostRow` bytes.
bool storeMessageMayFollow(std::string_view bytes, std::size_t mostRow);

// The size that the message at the start of `bytes` states, header included; 0 while its header is
// incomplete.
std::size_t statedSize(std::string_view bytes);

// Whether the payload of a server message follows the protocol up to its last byte. Payloads of
// other types than T, D, C, S, Z, E and N are not checked.
bool wellFormed(const Message& message);

// Removes a zero-terminated string from the start of `payload` and returns it without its
// terminator; nullopt where there is no terminator.
std::optional<std::string_view> takeString(std::string_view& payload);

// The value of one field of an ErrorResponse; empty if the field is absent.
std::string_view errorField(std::string_view payload, char field);

// Whether a DataRow's payload is well formed and has exactly one column.
bool oneColumn(std::string_view payload);

// The value of a row of one column; nullopt if it is NULL or `oneColumn` is false.
std::optional<std::string_view> firstColumn(std::string_view payload);

// Encodes a message of any type.
std::string message(char type, std::string_view payload);

// Encodes a ParameterStatus. Strings end at their first zero byte, here and in the encoders below.
std::string parameter(std::string_view name, std::string_view value);

// Encodes a StartupMessage.
std::string startup(std::string_view user, std::string_view database);

// Encodes a Query. `text` is sent unchanged, zero bytes included.
std::string query(std::string_view text);

// Encodes an ErrorResponse with the SQLSTATE `code`; `detail` is left out if empty.
std::string error(bool fatal, std::string_view code, std::string_view text,
                  std::string_view detail = {});

// Encodes the reply to an accepted startup, from AuthenticationOk to the first ReadyForQuery.
std::string greeting();

// Encodes a ReadyForQuery outside of a transaction.
std::string ready();

// Encodes an EmptyQueryResponse.
std::string emptyQuery();

}  // namespace reedchute::pg

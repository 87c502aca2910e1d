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

// Protocol version and request codes of a client's first message.
inline constexpr std::int32_t kVersion3 = 196608;      // StartupMessage, protocol 3.0
inline constexpr std::int32_t kCancelCode = 80877102;  // CancelRequest
inline constexpr std::int32_t kSslCode = 80877103;     // SSLRequest
inline constexpr std::int32_t kGssCode = 80877104;     // GSSENCRequest

// One message, as a view into the received bytes.
struct Message {
  char type = 0;
  std::string_view payload;  // without the type and length fields
  std::string_view whole;    // with the type and length fields
};

// Result of framing: a whole message, the beginning of one, or an invalid length.
enum class Framed { whole, partial, bad };

// Reads the message at the start of `bytes` into `message`. Returns `bad` if its stated length is
// smaller than the length field or greater than `maxLength` bytes. `message` is set only for
// `whole`.
Framed frame(std::string_view bytes, std::size_t maxLength, Message& message);

// Reads the header of a client's first message, which has no type byte. For `whole`, `code` is the
// protocol version or request code, and `size` is the size of the message in bytes. Returns `bad`
// if the stated length is less than 8 or greater than `maxLength` bytes.
Framed frameStartup(std::string_view bytes, std::size_t maxLength, std::int32_t& code,
                    std::size_t& size);

// Whether the server message that starts with `bytes` can still be valid. Checks the type and the
// stated length as soon as they have been received, and the column length of a row. A row may state
// a length of at most `maxRowLength` bytes.
bool isServerMessagePrefix(std::string_view bytes, std::size_t maxRowLength);

// Returns the size that the message at the start of `bytes` states, in bytes and with its header; 0
// while the header is incomplete.
std::size_t statedSize(std::string_view bytes);

// Whether the whole payload of a server message conforms to the protocol. Only payloads of the
// types T, D, C, S, Z, E and N are checked. Rows and their descriptions must have exactly one
// column.
bool isWellFormed(const Message& message);

// Removes a zero-terminated string from the start of `payload` and returns it without its
// terminator; nullopt if there is no terminator.
std::optional<std::string_view> takeString(std::string_view& payload);

// Returns the value of one field of an ErrorResponse; empty if the field is absent.
std::string_view errorField(std::string_view payload, char field);

// Whether a DataRow's payload is well formed and has exactly one column.
bool isSingleColumnRow(std::string_view payload);

// Returns the value of a row of one column; nullopt if it is NULL or isSingleColumnRow() is false.
std::optional<std::string_view> firstColumn(std::string_view payload);

// Encodes a message of any type.
std::string message(char type, std::string_view payload);

// Encodes a ParameterStatus. Strings end at their first zero byte, here and in the encoders below.
std::string parameter(std::string_view name, std::string_view value);

// Encodes a StartupMessage.
std::string startup(std::string_view user, std::string_view database);

// Encodes a Query. `text` is sent unchanged, zero bytes included.
std::string query(std::string_view text);

// Encodes an ErrorResponse of severity FATAL or ERROR with the SQLSTATE `code`; `detail` is omitted
// if empty.
std::string error(bool isFatal, std::string_view code, std::string_view text,
                  std::string_view detail = {});

// Encodes the reply to an accepted startup, from AuthenticationOk to the first ReadyForQuery.
std::string greeting();

// Encodes a ReadyForQuery outside of a transaction.
std::string ready();

// Encodes an EmptyQueryResponse.
std::string emptyQuery();

}  // namespace reedchute::pg

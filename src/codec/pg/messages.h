// Version 3 of PostgreSQL's wire protocol, as far as simple queries go: incremental framing, and
// the bytes of the messages that the front words itself. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace reedchute::pg {

inline constexpr std::int32_t kVersion3 = 196608;
inline constexpr std::int32_t kCancelCode = 80877102;
inline constexpr std::int32_t kSslCode = 80877103;
inline constexpr std::int32_t kGssCode = 80877104;

// One message, as a view into the bytes that came.
struct Message {
  char type = 0;
  std::string_view payload;  // without type and length
  std::string_view whole;    // with both
};

enum class Framed { whole, partial, bad };

// Looks for one message at the start of `bytes`. `bad`: a length that makes no sense or is above
// `most`.
Framed frame(std::string_view bytes, std::size_t most, Message& m);

// The same for a client's first message, which has no type; `code` is its version or what it asks
// for.
Framed frameStartup(std::string_view bytes, std::size_t most, std::int32_t& code,
                    std::size_t& size);

// Can the store's message that begins here still become one? Told by its type and stated length as
// soon as those are there, and of a row by the length of its column. A row may have `mostRow`
// bytes.
bool storeMessageMayFollow(std::string_view bytes, std::size_t mostRow);
// The bytes that it has in all, as far as it has told; 0 before that.
std::size_t statedSize(std::string_view bytes);

// Is the payload of a store's message as the protocol has it, to its last byte?
bool wellFormed(const Message& m);

// A zero-ended string at the start of `payload`, which then begins behind it.
std::optional<std::string_view> takeString(std::string_view& payload);

// One field of an ErrorResponse; empty where it has none.
std::string_view errorField(std::string_view payload, char field);

// Is it a row of exactly one column, well formed to its last byte?
bool oneColumn(std::string_view payload);
// And its value; nothing where it is NULL.
std::optional<std::string_view> firstColumn(std::string_view payload);

std::string message(char type, std::string_view payload);
std::string parameter(std::string_view name, std::string_view value);
std::string startup(std::string_view user, std::string_view database);
std::string query(std::string_view text);
std::string error(bool fatal, std::string_view code, std::string_view text,
                  std::string_view detail = {});
std::string
greeting();  // what a client gets once its startup is taken, up to the first ReadyForQuery
std::string ready();
std::string emptyQuery();

}  // namespace reedchute::pg

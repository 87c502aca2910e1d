// Blocking sockets and PostgreSQL messages for the soak's peers, which share no code with the
// proxy under test.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace soak {

// Returns a listening socket on `host`, owned by the caller. If `port` is 0 the system chooses a
// port, which is returned in it. Throws std::runtime_error on failure.
int listenOn(const std::string& host, int& port);
// Returns a connected socket owned by the caller, or -1 if none is established within `timeoutMs`.
int connectTo(const std::string& host, int port, int timeoutMs);
int localPort(int socket);
int peerPort(int socket);

// Closes the socket with a TCP reset.
void closeWithReset(int socket);
// Returns false on an error. On a non-blocking socket it waits until the socket is writable, and
// fails after 5 s.
bool writeAll(int socket, std::string_view bytes);

enum class Wait { readable, timedOut };
// `untilUs`: monotonic clock.
Wait waitReadable(int socket, std::int64_t untilUs);

// Returns the number of bytes appended, 0 at the end of the stream, or -1 on an error.
long readSome(int socket, std::string& into);

struct Message {
  char type = 0;
  std::string payload;
};
// Removes the first complete message from `bytes` and returns it.
std::optional<Message> takeMessage(std::string& bytes);
// Removes a startup message from `bytes`; returns false if it is incomplete.
bool takeStartup(std::string& bytes);

std::string message(char type, std::string_view payload);
std::string startupMessage();
// AuthenticationOk and ReadyForQuery.
std::string greeting();
std::string queryMessage(std::string_view text);
std::string parameter(std::string_view name, std::string_view value);
std::string errorMessage(const char* code, const char* text);
// RowDescription, DataRow and CommandComplete for a single value.
std::string rowMessage(std::string_view value);
std::string readyMessage();
// Returns the SQLSTATE of an ErrorResponse.
std::string errorCode(const Message& error);
// Whether the severity is FATAL, which ends the connection.
bool isFatal(const Message& error);

// Returns the value of name=... in a statement's comment, or an empty string.
std::string field(std::string_view text, std::string_view name);
std::uint64_t numberOf(const std::string& digits);

}  // namespace soak

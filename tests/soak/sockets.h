// Blocking sockets and PostgreSQL messages for the soak's peers, which share no code with the
// front.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace soak {

// A listening socket on `host`; `port` 0: one of the system's choice, which is then told.
int listenOn(const std::string& host, int& port);
// -1 where nobody accepts within the time.
int connectTo(const std::string& host, int port, int timeoutMs);
int localPort(int socket);
int peerPort(int socket);

void closeWithReset(int socket);
bool writeAll(int socket, std::string_view bytes);

enum class Wait { readable, timedOut };
Wait waitReadable(int socket, std::int64_t untilUs);

// Bytes appended; 0 at the end of the stream, -1 where it broke.
long readSome(int socket, std::string& into);

struct Message {
  char type = 0;
  std::string payload;
};
// Takes the first whole message off `bytes`.
std::optional<Message> takeMessage(std::string& bytes);
// Takes a startup message off `bytes`; false where none is whole.
bool takeStartup(std::string& bytes);

std::string message(char type, std::string_view payload);
std::string startupMessage();
std::string greeting();
std::string queryMessage(std::string_view text);
std::string parameter(std::string_view name, std::string_view value);
std::string errorMessage(const char* code, const char* text);
std::string rowMessage(std::string_view value);  // described, with the end of its command
std::string readyMessage();
std::string errorCode(const Message& error);
// Whether the connection ends with it.
bool isFatal(const Message& error);

// The value of name=... in a statement's comment; empty where there is none.
std::string field(std::string_view text, std::string_view name);
std::uint64_t numberOf(const std::string& digits);

}  // namespace soak

#include "sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <stdexcept>

#include "record.h"

namespace soak {
namespace {

constexpr int kBacklog = 512;
constexpr std::size_t kReadStep = 32 * 1024;

sockaddr_in addressOf(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

std::uint32_t readNumber(std::string_view bytes) {
  std::uint32_t number = 0;
  for (int k = 0; k < 4; ++k)
    number = number << 8 | static_cast<unsigned char>(bytes[static_cast<std::size_t>(k)]);
  return number;
}

void addNumber(std::string& to, std::uint32_t number) {
  for (int shift = 24; shift >= 0; shift -= 8)
    to.push_back(static_cast<char>(number >> shift & 0xff));
}

void addText(std::string& to, std::string_view text) {
  to.append(text);
  to.push_back('\0');
}

}  // namespace

int listenOn(const std::string& host, int& port) {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = addressOf(host, port);
  if (bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) < 0 ||
      listen(socket, kBacklog) < 0)
    throw std::runtime_error("cannot listen on " + host);
  port = localPort(socket);
  return socket;
}

int connectTo(const std::string& host, int port, int timeoutMs) {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (socket < 0) return -1;
  int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in address = addressOf(host, port);
  int result = connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
  if (result < 0 && errno == EINPROGRESS) {
    pollfd waits{socket, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&waits, 1, timeoutMs) == 1 &&
        getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0)
      result = 0;
  }
  if (result == 0) return socket;
  close(socket);
  return -1;
}

int localPort(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  return getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0
             ? ntohs(address.sin_port)
             : 0;
}

int peerPort(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  return getpeername(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0
             ? ntohs(address.sin_port)
             : 0;
}

void closeWithReset(int socket) {
  linger now{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(socket);
}

bool writeAll(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t n = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
    } else if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      pollfd waits{socket, POLLOUT, 0};
      if (poll(&waits, 1, 5'000) == 0) return false;
    } else {
      return false;
    }
  }
  return true;
}

Wait waitReadable(int socket, std::int64_t untilUs) {
  for (;;) {
    std::int64_t left = untilUs - monotonicUs();
    if (left <= 0) return Wait::timedOut;
    pollfd waits{socket, POLLIN, 0};
    if (poll(&waits, 1, static_cast<int>((left + 999) / 1000)) > 0) return Wait::readable;
  }
}

long readSome(int socket, std::string& into) {
  for (;;) {
    std::size_t had = into.size();
    into.resize(had + kReadStep);
    ssize_t n = recv(socket, into.data() + had, kReadStep, 0);
    into.resize(had + static_cast<std::size_t>(n > 0 ? n : 0));
    if (n >= 0) return n;
    if (errno != EINTR && errno != EAGAIN) return -1;
    pollfd waits{socket, POLLIN, 0};
    poll(&waits, 1, -1);
  }
}

std::optional<Message> takeMessage(std::string& bytes) {
  if (bytes.size() < 5) return std::nullopt;
  std::size_t size = 1 + static_cast<std::size_t>(readNumber(std::string_view(bytes).substr(1)));
  if (bytes.size() < size) return std::nullopt;
  Message m{bytes[0], bytes.substr(5, size - 5)};
  bytes.erase(0, size);
  return m;
}

bool takeStartup(std::string& bytes) {
  if (bytes.size() < 4 || bytes.size() < readNumber(bytes)) return false;
  bytes.erase(0, readNumber(bytes));
  return true;
}

std::string message(char type, std::string_view payload) {
  std::string bytes(1, type);
  addNumber(bytes, static_cast<std::uint32_t>(payload.size() + 4));
  bytes.append(payload);
  return bytes;
}

std::string startupMessage() {
  std::string payload;
  addNumber(payload, 196608);
  for (const char* text : {"user", "web", "database", "orders"}) addText(payload, text);
  payload.push_back('\0');
  std::string bytes;
  addNumber(bytes, static_cast<std::uint32_t>(payload.size() + 4));
  return bytes + payload;
}

std::string greeting() {
  return message('R', std::string_view("\0\0\0\0", 4)) + readyMessage();
}

std::string queryMessage(std::string_view text) {
  std::string payload;
  addText(payload, text);
  return message('Q', payload);
}

std::string parameter(std::string_view name, std::string_view value) {
  std::string payload;
  addText(payload, name);
  addText(payload, value);
  return message('S', payload);
}

std::string errorMessage(const char* code, const char* text) {
  std::string payload;
  for (const auto& [name, value] :
       {std::pair{'S', "ERROR"}, {'V', "ERROR"}, {'C', code}, {'M', text}}) {
    payload.push_back(name);
    addText(payload, value);
  }
  payload.push_back('\0');
  return message('E', payload);
}

std::string rowMessage(std::string_view value) {
  static const std::string described(
      "\0\1payload\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1", 28);
  std::string data("\0\1", 2);
  addNumber(data, static_cast<std::uint32_t>(value.size()));
  data.append(value);
  return message('T', described) + message('D', data) +
         message('C', std::string_view("SELECT 1\0", 9));
}

std::string readyMessage() {
  return message('Z', "I");
}

namespace {

std::string errorField(const Message& error, char field) {
  std::string_view rest = error.payload;
  while (rest.size() > 1) {
    char name = rest[0];
    std::size_t end = rest.find('\0', 1);
    if (end == std::string_view::npos) break;
    if (name == field) return std::string(rest.substr(1, end - 1));
    rest.remove_prefix(end + 1);
  }
  return {};
}

}  // namespace

std::string errorCode(const Message& error) {
  return errorField(error, 'C');
}

bool isFatal(const Message& error) {
  return errorField(error, 'S') == "FATAL";
}

std::string field(std::string_view text, std::string_view name) {
  std::string key(name);
  key += '=';
  for (const char* before : {"/* ", ","}) {
    std::size_t at = text.find(before + key);
    if (at == std::string_view::npos) continue;
    std::size_t begins = text.find('=', at) + 1;
    return std::string(text.substr(begins, text.find_first_of(", */", begins) - begins));
  }
  return {};
}

std::uint64_t numberOf(const std::string& digits) {
  return std::strtoull(digits.c_str(), nullptr, 10);
}

}  // namespace soak

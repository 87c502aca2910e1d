#include "runtime/socket.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>

#include "base/parse_number.h"
#include "runtime/system_error.h"

namespace reedchute::runtime {
namespace {

constexpr std::size_t kFirstReadSize = 16 * 1024;  // bytes
constexpr std::size_t kNextReadSize = 128 * 1024;  // bytes, once kFirstReadSize bytes are buffered
constexpr int kListenBacklog = 4096;               // connections

void disableNagle(int fd) {
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool lacksMemory(int error) {
  return error == ENOMEM || error == ENOBUFS;
}

bool wouldBlock(int error) {
  return error == EAGAIN || error == EWOULDBLOCK;
}

}  // namespace

std::optional<sockaddr_in> parseAddress(std::string_view text, bool allowsPortZero) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string host(text.substr(0, colon));
  auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
  if (!port || (*port == 0 && !allowsPortZero)) return std::nullopt;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(*port);
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) return std::nullopt;
  return address;
}

bool sameAddress(const sockaddr_in& a, const sockaddr_in& b) {
  return a.sin_addr.s_addr == b.sin_addr.s_addr && a.sin_port == b.sin_port;
}

int openListener(const sockaddr_in& address) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throwErrno("can't listen");
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0 ||
      listen(fd, kListenBacklog) < 0) {
    int error = errno;
    close(fd);
    errno = error;
    throwErrno("can't listen");
  }
  return fd;
}

int localPort(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) < 0) return -1;
  return ntohs(address.sin_port);
}

Accepted acceptConnection(int listener) {
  int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd >= 0) {
    disableNagle(fd);
    return {AcceptStatus::accepted, fd};
  }
  switch (errno) {
    case EAGAIN:
#if EAGAIN != EWOULDBLOCK
    case EWOULDBLOCK:
#endif
    case EBADF:
    case EINVAL:
    case ENOTSOCK:
      return {};
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
      return {AcceptStatus::exhausted, -1, errno};
    default:
      // Linux returns pending errors of the next connection in the queue, such as EPROTO or
      // ENETUNREACH (accept(2)).
      return {AcceptStatus::failed, -1, errno};
  }
}

std::optional<Duration> timeSinceLastReceive(int fd) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) < 0) return std::nullopt;
  if (size < offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv)
    return std::nullopt;
  return Duration{std::int64_t{info.tcpi_last_data_recv} * 1000};
}

std::optional<ReceiveQueue> receiveQueue(int fd) {
  int unreadBytes = 0;
  int bufferBytes = 0;
  socklen_t size = sizeof bufferBytes;
  if (ioctl(fd, FIONREAD, &unreadBytes) < 0) return std::nullopt;
  if (getsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bufferBytes, &size) < 0) return std::nullopt;
  return ReceiveQueue{static_cast<std::size_t>(unreadBytes), static_cast<std::size_t>(bufferBytes)};
}

Socket::ReadStatus Socket::read(std::string& buffer, std::size_t limit) {
  const std::size_t sizeBefore = buffer.size();
  auto dataOr = [&](ReadStatus otherwise) {
    return buffer.size() > sizeBefore ? ReadStatus::data : otherwise;
  };
  lastReadDrained_ = false;
  while (isOpen() && buffer.size() < limit) {
    std::size_t filled = buffer.size();
    std::size_t step = std::min(filled < kFirstReadSize ? kFirstReadSize : kNextReadSize,
                                limit - filled);
    buffer.resize(filled + step);
    ssize_t received = recv(fd(), buffer.data() + filled, step, 0);
    int error = errno;
    buffer.resize(filled + static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
    if (received > 0) {
      // If the end of the stream arrived together with the bytes it gets no edge of its own, so
      // reading continues up to the end.
      if (static_cast<std::size_t>(received) < step && !hasPeerClosed()) return ReadStatus::data;
      continue;
    }
    if (received < 0 && error == EINTR) continue;
    if (received < 0 && wouldBlock(error)) {
      markFullyRead();
      lastReadDrained_ = true;
      return dataOr(ReadStatus::noData);
    }
    if (received < 0 && lacksMemory(error)) {
      retryLater();
      return dataOr(ReadStatus::noData);
    }
    wasReset_ = received < 0;
    return dataOr(ReadStatus::closed);
  }
  return dataOr(isOpen() ? ReadStatus::noData : ReadStatus::closed);
}

std::optional<std::string_view> Socket::write(std::string_view bytes) {
  while (isOpen() && !bytes.empty()) {
    ssize_t sent = send(fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && wouldBlock(errno)) return bytes;
    if (sent < 0 && lacksMemory(errno)) {
      retryLater();
      return bytes;
    }
    return std::nullopt;
  }
  if (!isOpen()) return std::nullopt;
  return bytes;
}

void Socket::shutdownWrite() {
  if (isOpen()) shutdown(fd(), SHUT_WR);
}

Task<bool> writeAll(Socket& socket, std::string_view bytes, TimePoint until) {
  for (;;) {
    std::optional<std::string_view> rest = socket.write(bytes);
    if (!rest) co_return false;
    if (rest->empty()) co_return true;
    bytes = *rest;
    bool ready = co_await socket.writable.wait(until);
    if (!ready) co_return false;
  }
}

int startConnect(const sockaddr_in& to, bool* lacksResources) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (lacksResources) *lacksResources = fd < 0;
  if (fd < 0) return -1;
  disableNagle(fd);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) return fd;
  // After EINTR the connection is established asynchronously, as after EINPROGRESS.
  if (errno == EINPROGRESS || errno == EINTR) return fd;
  if (lacksResources)
    *lacksResources = errno == EADDRNOTAVAIL || errno == EAGAIN || lacksMemory(errno);
  close(fd);
  return -1;
}

Task<bool> awaitConnected(Socket& socket, TimePoint until) {
  while (socket.isOpen()) {
    bool ready = co_await socket.writable.wait(until);
    if (!ready || !socket.isOpen()) co_return false;
    int error = 0;
    socklen_t length = sizeof error;
    if (getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &length) < 0 || error != 0)
      co_return false;
    // The first edge may be reported before the socket is connected.
    sockaddr_in peer{};
    length = sizeof peer;
    if (getpeername(socket.fd(), reinterpret_cast<sockaddr*>(&peer), &length) == 0) co_return true;
  }
  co_return false;
}

}  // namespace reedchute::runtime

#include "runtime/socket.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>

#include "base/parse_number.h"

namespace reedchute::runtime {
namespace {

constexpr std::size_t kReadStep = 16 * 1024, kLongStep = 128 * 1024;
constexpr int kBacklog = 4096;

void noDelay(int fd) {
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool lacksMemory(int error) {
  return error == ENOMEM || error == ENOBUFS;
}

}  // namespace

std::optional<sockaddr_in> parseAddress(std::string_view text, bool zeroPort) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string host(text.substr(0, colon));
  auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
  if (!port || (*port == 0 && !zeroPort)) return std::nullopt;
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(*port);
  if (inet_pton(AF_INET, host.c_str(), &a.sin_addr) != 1) return std::nullopt;
  return a;
}

bool sameAddress(const sockaddr_in& a, const sockaddr_in& b) {
  return a.sin_addr.s_addr == b.sin_addr.s_addr && a.sin_port == b.sin_port;
}

int listenOn(const sockaddr_in& address) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;
  if (fd >= 0) setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0 ||
      listen(fd, kBacklog) < 0) {
    int why = errno;
    if (fd >= 0) close(fd);
    errno = why;
    throwErrno("can't listen");
  }
  return fd;
}

int portOf(int listener) {
  sockaddr_in a{};
  socklen_t size = sizeof a;
  return getsockname(listener, reinterpret_cast<sockaddr*>(&a), &size) == 0 ? ntohs(a.sin_port)
                                                                            : -1;
}

Accepted acceptOn(int listener) {
  int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd >= 0) {
    noDelay(fd);
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
      // Linux passes on the errors of the connection that was next in the queue, such as EPROTO or
      // ENETUNREACH.
      return {AcceptStatus::failed, -1, errno};
  }
}

std::optional<Duration> sinceLastBytes(int fd) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) < 0) return std::nullopt;
  if (size < offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv)
    return std::nullopt;
  return Duration{std::int64_t{info.tcpi_last_data_recv} * 1000};
}

Socket::Got Socket::read(std::string& into, std::size_t most) {
  bool some = false;
  sawEmpty_ = false;
  while (open() && into.size() < most) {
    // Where much has come already, more is likely to be there.
    std::size_t had = into.size(),
                step = std::min(had < kReadStep ? kReadStep : kLongStep, most - had);
    into.resize(had + step);
    ssize_t n = recv(fd(), into.data() + had, step, 0);
    int why = errno;
    into.resize(had + static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    if (n > 0) {
      some = true;
      // Danger: an end that came together with the bytes has no edge of its own; whoever waits for
      // one hears of it only where reading goes on up to it.
      if (static_cast<std::size_t>(n) < step && !peerEnded()) return Got::some;
    } else if (n < 0 && why == EINTR) {
      continue;
    } else if (n < 0 && (why == EAGAIN || why == EWOULDBLOCK)) {
      readEmpty();
      sawEmpty_ = true;
      return some ? Got::some : Got::nothing;
    } else if (n < 0 && lacksMemory(why)) {
      retryLater();
      return some ? Got::some : Got::nothing;
    } else {
      wasReset_ = n < 0;
      return some ? Got::some : Got::ended;
    }
  }
  return some ? Got::some : open() ? Got::nothing : Got::ended;
}

std::optional<std::string_view> Socket::write(std::string_view bytes) {
  while (open() && !bytes.empty()) {
    ssize_t n = send(fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
    } else if (n < 0 && errno == EINTR) {
      continue;
    } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return bytes;
    } else if (n < 0 && lacksMemory(errno)) {
      retryLater();
      return bytes;
    } else {
      return std::nullopt;
    }
  }
  if (!open()) return std::nullopt;
  return bytes;
}

void Socket::endWriting() {
  if (open()) shutdown(fd(), SHUT_WR);
}

Task<bool> writeAll(Socket& s, std::string_view bytes, TimePoint until) {
  for (;;) {
    std::optional<std::string_view> rest = s.write(bytes);
    if (!rest) co_return false;
    if (rest->empty()) co_return true;
    bytes = *rest;
    bool ready = co_await s.out.wait(until);
    if (!ready) co_return false;
  }
}

int startConnect(const sockaddr_in& to, bool* lacking) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (lacking) *lacking = fd < 0;
  if (fd < 0) return -1;
  noDelay(fd);
  // Interrupted, it goes on as one that is in progress.
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) < 0 && errno != EINPROGRESS &&
      errno != EINTR) {
    // No port is left on this machine, or no memory.
    if (lacking) *lacking = errno == EADDRNOTAVAIL || errno == EAGAIN || lacksMemory(errno);
    close(fd);
    return -1;
  }
  return fd;
}

Task<bool> connected(Socket& s, TimePoint until) {
  while (s.open()) {
    bool ready = co_await s.out.wait(until);
    if (!ready || !s.open()) co_return false;
    int error = 0;
    socklen_t length = sizeof error;
    if (getsockopt(s.fd(), SOL_SOCKET, SO_ERROR, &error, &length) < 0 || error != 0)
      co_return false;
    // Danger: the first edge may come while the socket is not connected yet.
    sockaddr_in peer{};
    length = sizeof peer;
    if (getpeername(s.fd(), reinterpret_cast<sockaddr*>(&peer), &length) == 0) co_return true;
  }
  co_return false;
}

}  // namespace reedchute::runtime

#include "membership/transport.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace reedchute::membership {
namespace {

constexpr int kAtOnce = 64;  // datagrams read before others have their turn

int datagramsOn(const sockaddr_in& address) {
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0) {
    int why = errno;
    if (fd >= 0) close(fd);
    throw std::runtime_error(std::string("can't take datagrams: ") + std::strerror(why));
  }
  return fd;
}

}  // namespace

Address addressOf(const sockaddr_in& a) {
  return {ntohl(a.sin_addr.s_addr), ntohs(a.sin_port)};
}

sockaddr_in socketAddress(const Address& a) {
  sockaddr_in to{};
  to.sin_family = AF_INET, to.sin_addr.s_addr = htonl(a.ip), to.sin_port = htons(a.port);
  return to;
}

Transport::Transport(runtime::Scheduler& s, Gossip& gossip, const sockaddr_in& listen)
    : scheduler_(s), gossip_(gossip), socket_(s, datagramsOn(listen)), due_(s) {}

runtime::Task<> Transport::read() {
  std::array<char, kMostBytes + 1> bytes;
  for (;;) {
    int taken = 0;
    for (; taken < kAtOnce; ++taken) {
      sockaddr_in from{};
      socklen_t size = sizeof from;
      ssize_t n = recvfrom(socket_.fd(), bytes.data(), bytes.size(), 0,
                           reinterpret_cast<sockaddr*>(&from), &size);
      if (n < 0 && errno == EINTR) continue;
      // An error is another one's datagram that came back; the next read goes on.
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
      if (n < 0) continue;
      std::string_view got(bytes.data(), static_cast<std::size_t>(n));
      if (other_ && got.size() > 1 && static_cast<std::uint8_t>(got[1]) == otherKind_) {
        std::string answer = other_(got, addressOf(from));
        if (!answer.empty())
          unsent_ += sendto(socket_.fd(), answer.data(), answer.size(), 0,
                            reinterpret_cast<sockaddr*>(&from), size) < 0;
      } else {
        gossip_.datagram(got, addressOf(from), scheduler_.now());
      }
    }
    flush();
    due_.set();
    if (taken == kAtOnce)
      co_await runtime::sleepUntil(scheduler_, scheduler_.now());
    else
      co_await socket_.readable.wait();
  }
}

runtime::Task<> Transport::tick() {
  for (;;) {
    gossip_.tick(scheduler_.now());
    flush();
    co_await due_.wait(gossip_.dueAt());
  }
}

// Danger: a datagram that the kernel doesn't take now is lost like one on its way; the protocol
// bears that.
void Transport::flush() {
  for (const auto& [to, bytes] : gossip_.takeDatagrams(scheduler_.now())) {
    sockaddr_in address = socketAddress(to);
    unsent_ += sendto(socket_.fd(), bytes.data(), bytes.size(), MSG_DONTWAIT,
                      reinterpret_cast<sockaddr*>(&address), sizeof address) < 0;
  }
}

}  // namespace reedchute::membership

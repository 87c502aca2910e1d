#include "membership/transport.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace reedchute::membership {
namespace {

constexpr int kMaxReadsAtOnce = 64;  // datagrams read before yielding to other tasks

int bindDatagramSocket(const sockaddr_in& address) {
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0) {
    int error = errno;
    if (fd >= 0) close(fd);
    throw std::runtime_error(std::string("can't take datagrams: ") + std::strerror(error));
  }
  return fd;
}

}  // namespace

Address addressOf(const sockaddr_in& socketAddress) {
  return {ntohl(socketAddress.sin_addr.s_addr), ntohs(socketAddress.sin_port)};
}

sockaddr_in socketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address.ip);
  result.sin_port = htons(address.port);
  return result;
}

Transport::Transport(runtime::Scheduler& scheduler, Gossip& gossip, const sockaddr_in& listen)
    : scheduler_(scheduler),
      gossip_(gossip),
      socket_(scheduler, bindDatagramSocket(listen)),
      due_(scheduler) {}

void Transport::send(std::string_view datagram, const sockaddr_in& to, int flags) {
  ssize_t sent = sendto(socket_.fd(), datagram.data(), datagram.size(), flags,
                        reinterpret_cast<const sockaddr*>(&to), sizeof to);
  if (sent < 0) ++unsent_;
}

void Transport::dispatch(std::string_view datagram, const sockaddr_in& from) {
  bool isHandled = handler_ && datagram.size() > 1 &&
                   static_cast<std::uint8_t>(datagram[1]) == handledKind_;
  if (!isHandled) return gossip_.receive(datagram, addressOf(from), scheduler_.now());
  std::string answer = handler_(datagram, addressOf(from));
  if (!answer.empty()) send(answer, from, 0);
}

// Returns the number of datagrams read, up to kMaxReadsAtOnce.
int Transport::readSome() {
  std::array<char, kMaxDatagramBytes + 1> bytes;
  int count = 0;
  for (; count < kMaxReadsAtOnce; ++count) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    ssize_t received = recvfrom(socket_.fd(), bytes.data(), bytes.size(), 0,
                                reinterpret_cast<sockaddr*>(&from), &size);
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    // Any other error is a pending one of an earlier datagram that couldn't be delivered.
    if (received < 0) continue;
    dispatch({bytes.data(), static_cast<std::size_t>(received)}, from);
  }
  return count;
}

runtime::Task<> Transport::read() {
  for (;;) {
    int count = readSome();
    flush();
    due_.set();
    if (count == kMaxReadsAtOnce)
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

void Transport::flush() {
  for (const OutgoingDatagram& datagram : gossip_.takeDatagrams(scheduler_.now()))
    send(datagram.bytes, socketAddress(datagram.to), MSG_DONTWAIT);
}

}  // namespace reedchute::membership

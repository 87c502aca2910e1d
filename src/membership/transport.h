// The UDP socket for gossip: passes received datagrams to Gossip and sends those that it has
// queued. Runs on the scheduler's thread.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "membership/gossip.h"
#include "runtime/scheduler.h"
#include "runtime/socket.h"

namespace reedchute::membership {

class Transport {
 public:
  // Handles datagrams of a kind other than packets. A non-empty result is sent back as the answer.
  using DatagramHandler = std::function<std::string(std::string_view bytes, Address from)>;

  // Throws std::runtime_error if the address can't be bound.
  Transport(runtime::Scheduler& scheduler, Gossip& gossip, const sockaddr_in& listen);

  // Passes datagrams of this kind to the handler instead of to Gossip.
  void setHandler(std::uint8_t kind, DatagramHandler handler) {
    handledKind_ = kind;
    handler_ = std::move(handler);
  }
  // Both run for the lifetime of the process.
  runtime::Task<> read();
  runtime::Task<> tick();
  // Sends the queued datagrams. One that the kernel doesn't accept at once is dropped, which the
  // protocol tolerates like a loss in the network.
  void flush();
  int port() const { return runtime::localPort(socket_.fd()); }
  std::uint64_t unsent() const { return unsent_; }

 private:
  int readSome();
  void dispatch(std::string_view datagram, const sockaddr_in& from);
  void send(std::string_view datagram, const sockaddr_in& to, int flags);

  runtime::Scheduler& scheduler_;
  Gossip& gossip_;
  runtime::Descriptor socket_;
  runtime::Event due_;
  std::uint8_t handledKind_ = 0;
  DatagramHandler handler_;
  std::uint64_t unsent_ = 0;
};

Address addressOf(const sockaddr_in& socketAddress);
sockaddr_in socketAddress(const Address& address);

}  // namespace reedchute::membership

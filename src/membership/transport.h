// The gossip's UDP socket: what came is told to it, what it answers is sent.
#pragma once

#include <netinet/in.h>

#include <functional>
#include <string>
#include <string_view>

#include "membership/gossip.h"
#include "runtime/scheduler.h"
#include "runtime/socket.h"

namespace reedchute::membership {

class Transport {
 public:
  // Datagrams of another kind than packets, which go to whoever takes them; what is answered goes
  // back.
  using Other = std::function<std::string(std::string_view bytes, Address from)>;

  // Throws std::runtime_error where the address can't be had.
  Transport(runtime::Scheduler& s, Gossip& gossip, const sockaddr_in& listen);

  void others(std::uint8_t kind, Other other) { otherKind_ = kind, other_ = std::move(other); }
  // Runs as long as the front does.
  runtime::Task<> read();
  runtime::Task<> tick();
  // Sends what the gossip has ready.
  void flush();
  int port() const { return runtime::localPort(socket_.fd()); }
  std::uint64_t unsent() const { return unsent_; }

 private:
  runtime::Scheduler& scheduler_;
  Gossip& gossip_;
  runtime::Descriptor socket_;
  runtime::Event due_;
  std::uint8_t otherKind_ = 0;
  Other other_;
  std::uint64_t unsent_ = 0;
};

Address addressOf(const sockaddr_in& a);
sockaddr_in socketAddress(const Address& a);

}  // namespace reedchute::membership

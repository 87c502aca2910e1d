// TCP sockets for coroutines. No function blocks; coroutines wait by co_await.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

#include "runtime/descriptor.h"
#include "runtime/receive_queue.h"
#include "runtime/scheduler.h"

namespace reedchute::runtime {

// Parses an IPv4 address with a port, such as "127.0.0.1:5432". Port 0, with which a listener gets
// a port of the system's choice, is accepted only if `allowsPortZero`.
std::optional<sockaddr_in> parseAddress(std::string_view text, bool allowsPortZero = false);

bool sameAddress(const sockaddr_in& a, const sockaddr_in& b);

// Returns a listening descriptor. Throws std::system_error.
int openListener(const sockaddr_in& address);

// The port that a socket is bound to, or -1.
int localPort(int fd);

enum class AcceptStatus {
  accepted,
  queueEmpty,  // or the listener is closed
  failed,      // for a reason of this moment or of this connection: the next call may succeed
  exhausted,   // no descriptor or no memory is left
};
struct Accepted {
  AcceptStatus status = AcceptStatus::queueEmpty;
  int fd = -1;
  int error = 0;  // errno, if the call failed
};

// Accepts the next waiting connection.
Accepted acceptConnection(int listener);

// The time since the kernel last received bytes on a connection, whether they were read or not;
// nothing if the kernel doesn't tell.
std::optional<Duration> timeSinceLastReceive(int fd);

// Nothing if the kernel doesn't tell.
std::optional<ReceiveQueue> receiveQueue(int fd);

class Socket : public Descriptor {
 public:
  using Descriptor::Descriptor;

  enum class ReadStatus { data, noData, closed };
  // Appends the received bytes to `into`, until it holds `limit` bytes at most. `closed`: nothing
  // more will come. If the kernel lacks memory, the result is noData and `readable` is set after a
  // short pause.
  ReadStatus read(std::string& into, std::size_t limit);
  // Whether the last read emptied the kernel's buffer. A short read alone doesn't tell.
  bool lastReadDrained() const { return lastReadDrained_; }
  // Whether the connection ended by a reset, so that the received bytes may lack their end.
  bool wasReset() const { return wasReset_; }
  // Writes what the kernel takes now and returns the rest; nothing once the connection is broken.
  // If the kernel lacks memory, `writable` is set after a short pause.
  std::optional<std::string_view> write(std::string_view bytes);
  // Ends the sending side only.
  void shutdownWrite();

 private:
  bool wasReset_ = false;
  bool lastReadDrained_ = false;
};

// Writes all of `bytes`; false if the connection broke or `until` came before the kernel had taken
// the last byte.
Task<bool> writeAll(Socket& socket, std::string_view bytes, TimePoint until);

// Starts to connect and returns the descriptor, or -1. `*lacksResources` tells whether it failed
// for want of descriptors, ports or memory on this machine.
int startConnect(const sockaddr_in& to, bool* lacksResources = nullptr);

// Waits until a started connection is established; false if it was refused or `until` came first.
Task<bool> awaitConnected(Socket& socket, TimePoint until);

}  // namespace reedchute::runtime

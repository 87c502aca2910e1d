// Non-blocking TCP sockets for coroutines. No function blocks the thread; coroutines wait with
// co_await.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

#include "runtime/descriptor.h"
#include "runtime/receive_queue.h"
#include "runtime/scheduler.h"

namespace reedchute::runtime {

// Parses an IPv4 address with a port, such as "127.0.0.1:5432"; nullopt if malformed. Port 0, with
// which the system chooses a listener's port, is accepted only if `allowsPortZero`.
std::optional<sockaddr_in> parseAddress(std::string_view text, bool allowsPortZero = false);

bool sameAddress(const sockaddr_in& a, const sockaddr_in& b);

// Returns a listening descriptor. Throws std::system_error.
int openListener(const sockaddr_in& address);

// The local port of a socket, or -1 on failure.
int localPort(int fd);

enum class AcceptStatus {
  accepted,
  queueEmpty,  // or the listener is closed
  failed,      // a momentary error, or one of this connection: the next call may succeed
  exhausted,   // out of file descriptors or memory
};
struct Accepted {
  AcceptStatus status = AcceptStatus::queueEmpty;
  int fd = -1;
  int error = 0;  // errno, if the call failed
};

// Accepts the next connection from the listener's queue. The caller owns the descriptor.
Accepted acceptConnection(int listener);

// The time since the kernel last received bytes on a connection, whether they were read or not
// (TCP_INFO); nullopt if the kernel doesn't report it.
std::optional<Duration> timeSinceLastReceive(int fd);

// The connection's receive queue; nullopt if the kernel doesn't report it.
std::optional<ReceiveQueue> receiveQueue(int fd);

class Socket : public Descriptor {
 public:
  using Descriptor::Descriptor;

  enum class ReadStatus { data, noData, closed };
  // Appends received bytes to `buffer` until it holds `limit` bytes. `closed`: the end of the
  // stream or an error, no more bytes will arrive. If the kernel lacks memory, the result is noData
  // (or data, if some bytes were read) and `readable` is set after a short delay.
  ReadStatus read(std::string& buffer, std::size_t limit);
  // Whether the last read found the receive queue empty. A short read alone doesn't imply that.
  bool lastReadDrained() const { return lastReadDrained_; }
  // Whether the connection ended with an error such as a reset, so the received data may be
  // incomplete.
  bool wasReset() const { return wasReset_; }
  // Writes as many bytes as the kernel accepts now and returns the rest; nullopt if the connection
  // has failed or is closed. If the kernel lacks memory, `writable` is set after a short delay.
  std::optional<std::string_view> write(std::string_view bytes);
  // Shuts down the sending side only.
  void shutdownWrite();

 private:
  bool wasReset_ = false;
  bool lastReadDrained_ = false;
};

// Writes all of `bytes`. Returns false if the connection failed, or `until` came before the kernel
// had accepted the last byte.
Task<bool> writeAll(Socket& socket, std::string_view bytes, TimePoint until);

// Starts connecting and returns the descriptor, which the caller owns, or -1. `*lacksResources` is
// set to whether it failed for lack of descriptors, ports or memory on this machine.
int startConnect(const sockaddr_in& to, bool* lacksResources = nullptr);

// Waits until a connection in progress is established. Returns false if it failed or `until` came
// first.
Task<bool> awaitConnected(Socket& socket, TimePoint until);

}  // namespace reedchute::runtime

// TCP sockets for coroutines: nothing here blocks but a co_await.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

#include "runtime/scheduler.h"

namespace reedchute::runtime {

// "127.0.0.1:5432"; nothing where it is no IPv4 address with a port. Port 0, to listen on a port of
// the system's choice, only where that is asked for.
std::optional<sockaddr_in> parseAddress(std::string_view text, bool zeroPort = false);

bool sameAddress(const sockaddr_in& a, const sockaddr_in& b);

// A listening descriptor. Throws std::runtime_error, naming the address, where it can't be had.
int listenOn(const sockaddr_in& address);

// The port that it was given.
int portOf(int listener);

enum class AcceptStatus {
  accepted,
  noneWaits,  // the queue is empty, or the listener is closed
  failed,  // as one connection in the queue did, or for a reason of this moment: the next call may
           // succeed
  exhausted,  // no descriptor or no memory is left
};
struct Accepted {
  AcceptStatus status = AcceptStatus::noneWaits;
  int fd = -1;
  int error = 0;  // the call's errno, where it failed
};

// The next connection that waits to be accepted.
Accepted acceptOn(int listener);

// How long ago the last bytes came on a connection, whether they were read or not, as the kernel
// has noted it; nothing where it doesn't tell.
std::optional<Duration> sinceLastBytes(int fd);

class Socket : public Descriptor {
 public:
  using Descriptor::Descriptor;

  enum class Got { some, nothing, ended };
  // Appends what has come to `into`, at most until it holds `most` bytes. `ended`: nothing more
  // will come. Where the kernel lacks memory nothing comes for now, and `in` is set in a moment.
  Got read(std::string& into, std::size_t most);
  // Did the last read find that nothing was left? A short one alone doesn't tell.
  bool sawEmpty() const { return sawEmpty_; }
  // Did it end by a reset? Then what came may lack its end.
  bool wasReset() const { return wasReset_; }
  // Writes what the kernel takes now and returns the rest; nothing once the connection is broken.
  // Where the kernel lacks memory `out` is set in a moment.
  std::optional<std::string_view> write(std::string_view bytes);
  // Ends the sending side only.
  void endWriting();

 private:
  bool wasReset_ = false, sawEmpty_ = false;
};

// Writes all; false where the connection broke or the time came before the kernel had taken the
// last byte.
Task<bool> writeAll(Socket& s, std::string_view bytes, TimePoint until);

// Starts a connection; the descriptor, or -1.
int startConnect(const sockaddr_in& to, bool* lacking = nullptr);

// Waits for a started connection; false where it was refused or the time came first.
Task<bool> connected(Socket& s, TimePoint until);

}  // namespace reedchute::runtime

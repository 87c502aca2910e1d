#include "client/session.h"

#include <poll.h>

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace reedchute::client {
const char* nameOf(CloseReason reason) {
  switch (reason) {
    case CloseReason::client:
      return "client";
    case CloseReason::lastWord:
      return "last_word";
    case CloseReason::idle:
      return "idle";
    case CloseReason::makesRoom:
      return "makes_room";
    case CloseReason::leaving:
      return "leaving";
    case CloseReason::readsNothing:
      return "reads_nothing";
    case CloseReason::writeFailed:
      return "write_failed";
    case CloseReason::fault:
      return "fault";
    default:
      return "none";
  }
}

Session::Session(runtime::Scheduler& s, ClientProtocol& protocol, int fd, std::size_t mostUnsaid)
    : scheduler(s), socket(s, fd), talk(protocol.talk(*this)), mostUnsaid_(mostUnsaid) {}

void Session::answer(std::string bytes, TimePoint until) {
  said.push_back(until);
  say(std::move(bytes));
}

void Session::say(std::string bytes) {
  // Danger: one that asks on many streams and reads nothing would have answers gathered without
  // end.
  if (out.size() + bytes.size() > mostUnsaid_ && writing) {
    log::line("client_reads_nothing", "bytes=%zu", out.size());
    gone = true;
    return close(CloseReason::readsNothing);
  }
  if (out.empty())
    out = std::move(bytes);
  else
    out += bytes;
  socket.readable.set();
}

// Danger: the process may have stood still since this round's events were read, and its client may
// have gone meanwhile.
bool Session::clientGone() const {
  if (!socket.isOpen() || socket.hasPeerClosed()) return true;
  if (!scheduler.isRoundStale()) return false;
  pollfd look{socket.fd(), POLLRDHUP, 0};
  return poll(&look, 1, 0) > 0 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Session::drop(std::size_t n) {
  used += n;
  arrivals.done(n);
  if (used < in.size()) return;
  in.clear(), used = 0;
  if (in.capacity() > kMostAhead) in.shrink_to_fit();
}

runtime::Socket::ReadStatus Session::more(std::size_t most) {
  if (used > 0) in.erase(0, used), used = 0;
  // Danger: what stood unread for a while, as there was no room for it, came at any moment of that.
  std::size_t had = in.size();
  TimePoint now = scheduler.now(), since = unseenSince;
  if (since == kNever) {
    since = socket.unreadSince();
  } else {
    std::optional<Duration> ago = runtime::timeSinceLastReceive(socket.fd());
    since = std::max(since, now - ago.value_or(oldestUnseen));
  }
  runtime::Socket::ReadStatus got = socket.read(in, most);
  // It may be read in pieces, of which the last came as early as the first.
  if (socket.lastReadDrained()) unseenSince = kNever;
  arrivals.came(in.size() - had, since == kNever ? now : std::min(since, now));
  gone |= got == runtime::Socket::ReadStatus::closed && socket.isOpen();
  return got;
}

}  // namespace reedchute::client

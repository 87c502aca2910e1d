#include "client/session.h"

#include <poll.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "log/log.h"

namespace reedchute::client {

Session::Session(runtime::Scheduler& scheduler, ClientProtocol& protocol, int fd,
                 std::size_t maxQueuedBytes, TimePoint acceptableSince, Duration maxAcceptWait)
    : socket(scheduler, fd),
      codec(protocol.newCodec(*this)),
      scheduler_(scheduler),
      maxQueuedBytes_(maxQueuedBytes),
      maxAcceptWait_(maxAcceptWait),
      acceptableSince_(acceptableSince) {}

void Session::sendResponse(std::string bytes, TimePoint deadline) {
  queued.responseDeadlines.push_back(deadline);
  send(std::move(bytes));
}

void Session::send(std::string bytes) {
  // A client that sends requests on many streams and reads nothing would have responses gathered
  // without end.
  if (isWriting && queued.bytes.size() + bytes.size() > maxQueuedBytes_) {
    log::line("client_reads_nothing", "bytes=%zu", queued.bytes.size());
    hasClientEnded = true;
    return close(CloseReason::slowReader);
  }
  if (queued.bytes.empty())
    queued.bytes = std::move(bytes);
  else
    queued.bytes += bytes;
  socket.readable.set();
}

void Session::finish(CloseReason why) {
  if (closeReason == CloseReason::none) closeReason = why;
  isEnding = true;
}

void Session::close(CloseReason why) {
  if (closeReason == CloseReason::none) closeReason = why;
  socket.close();
}

// The process may have stood still since the events of this round were read, so the kernel is asked
// once more (test leavesInRound).
bool Session::isClientGone() const {
  if (!socket.isOpen() || socket.hasPeerClosed()) return true;
  if (!scheduler_.isRoundStale()) return false;
  pollfd descriptor{socket.fd(), POLLRDHUP, 0};
  if (poll(&descriptor, 1, 0) <= 0) return false;
  return (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Session::consume(std::size_t count) {
  consumed_ += count;
  arrivals_.consume(count);
  if (consumed_ < input_.size()) return;
  input_.clear();
  consumed_ = 0;
  if (input_.capacity() > kReadAheadBytes) input_.shrink_to_fit();
}

// Since when the bytes that are read next may have been there. A new connection's may have come at
// any moment since it could have been accepted. The last bytes that were received may stand behind
// older ones (test behindMuch).
TimePoint Session::earliestArrival() const {
  TimePoint unreadSince = socket.unreadSince();
  if (acceptableSince_ == kNever) return unreadSince;
  Duration ago = runtime::timeSinceLastReceive(socket.fd()).value_or(maxAcceptWait_);
  TimePoint earliest = std::max(acceptableSince_, scheduler_.now() - ago);
  return unreadSince == kNever ? earliest : std::min(unreadSince, earliest);
}

runtime::Socket::ReadStatus Session::read(std::size_t maxBytes) {
  input_.erase(0, std::exchange(consumed_, 0));
  std::size_t before = input_.size();
  TimePoint now = scheduler_.now();
  TimePoint since = earliestArrival();
  runtime::Socket::ReadStatus status = socket.read(input_, maxBytes);
  // Input may be read in pieces, the last of which came as early as the first.
  if (socket.lastReadDrained()) acceptableSince_ = kNever;
  arrivals_.append(input_.size() - before, since == kNever ? now : std::min(since, now));
  if (status == runtime::Socket::ReadStatus::closed && socket.isOpen()) hasClientEnded = true;
  return status;
}

runtime::Socket::ReadStatus Session::discardAndRead() {
  input_.clear();
  consumed_ = 0;
  return socket.read(input_, kReadAheadBytes);
}

bool Session::isAwaitingRequest() const {
  return codec->hasCompletedStartup() && unread().empty() && codec->pendingResponses() == 0;
}

std::size_t Session::unsentResponses() const {
  return queued.responseDeadlines.size() + sending.responseDeadlines.size() +
         codec->bufferedResponses();
}

std::size_t Session::bufferBytes() const {
  return input_.capacity() + queued.bytes.capacity() + sending.bytes.capacity();
}

}  // namespace reedchute::client

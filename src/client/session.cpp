#include "client/session.h"

#include <poll.h>

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
      clock_(acceptableSince, maxAcceptWait) {}

void Session::sendResponse(std::string bytes, TimePoint deadline) {
  queued.responseDeadlines.push_back(deadline);
  send(std::move(bytes));
}

void Session::send(std::string bytes) {
  // Bounds the memory for a client that sends requests on many streams and doesn't read the
  // responses.
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

// The process may have been stopped since the events of this round were read. If so, the kernel is
// queried again (test leavesInRound).
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

TimePoint Session::earliestArrival(TimePoint now) {
  ReadContext context{.now = now,
                      .unreadSince = socket.unreadSince(),
                      .mayBeUnreadSince = socket.mayBeUnreadSince()};
  if (clock_.needsLastReceive(context))
    context.sinceLastReceive = runtime::timeSinceLastReceive(socket.fd());
  if (clock_.needsQueue(context)) context.queue = runtime::receiveQueue(socket.fd());
  return clock_.beforeRead(context);
}

runtime::Socket::ReadStatus Session::read(std::size_t maxBytes) {
  input_.erase(0, std::exchange(consumed_, 0));
  std::size_t before = input_.size();
  TimePoint now = scheduler_.now();
  TimePoint since = earliestArrival(now);
  runtime::Socket::ReadStatus status = socket.read(input_, maxBytes);
  std::size_t received = input_.size() - before;
  clock_.afterRead(now, received, socket.lastReadDrained());
  arrivals_.append(received, since);
  if (status == runtime::Socket::ReadStatus::closed && socket.isOpen()) hasClientEnded = true;
  return status;
}

void Session::releaseInput() {
  std::string().swap(input_);
  consumed_ = 0;
}

runtime::Socket::ReadStatus Session::discardAndRead() {
  input_.clear();
  consumed_ = 0;
  return socket.read(input_, kReadAheadBytes);
}

bool Session::isAwaitingRequest() const {
  return codec->hasCompletedStartup() && undecodedBytes() == 0 && codec->pendingResponses() == 0;
}

std::size_t Session::unsentResponses() const {
  return queued.responseDeadlines.size() + sending.responseDeadlines.size() +
         codec->bufferedResponses();
}

std::size_t Session::bufferBytes() const {
  return input_.capacity() + codec->inputBufferBytes() + queued.bytes.capacity() +
         sending.bytes.capacity();
}

}  // namespace reedchute::client
